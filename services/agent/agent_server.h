#ifndef DANDELIONSPUR_SERVICES_AGENT_AGENT_SERVER_H_
#define DANDELIONSPUR_SERVICES_AGENT_AGENT_SERVER_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "libraries/agent_core/agent_core.h"
#include "libraries/agent_core/view_reading.h"
#include "libraries/configuration/settings.h"
#include "libraries/decision_log/agent_decision_log.h"
#include "platform/table_client.h"
#include "services/agent/agent_links.h"
#include "services/agent/agent_row_writer.h"
#include "services/agent/platform_upstream.h"
#include "services/agent/upstream_client.h"
#include "services/runtime/client_limits.h"
#include "services/runtime/record_uploader.h"

namespace dandelionspur {

// One agent process: the core and the calls to the upstream on one thread, and
// further threads for HTTP, the links to entries and the recorder.
class AgentServer {
 public:
  static Result<std::unique_ptr<AgentServer>> Create(
      const AgentSettings& settings);
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;
  ~AgentServer();

  // Begins a graceful shutdown: refuses new starts immediately and exits when
  // no task runs any more.
  void Drain();

  // Applies the changed settings that don't need a restart. Must be called from
  // the thread that calls Drain().
  void Reconfigure(const AgentSettings& changed);

 private:
  AgentServer(const AgentSettings& configured, AgentId own);
  Result<void> Listen();

  // Safe from any thread.
  void Post(AgentEvent event);
  // Handles the event immediately on the core's thread, or posts it from any
  // other, so that events of one connection keep their order.
  void Dispatch(AgentEvent event);
  void HandleAdmin(const HttpRequest& request, const HttpResponder& responder);
  void HandleAnnouncement(const HttpRequest& request,
                          const HttpResponder& responder);

  // On the core's thread only.
  void Handle(const AgentEvent& event);
  void ScheduleTick();
  void ScheduleViewRead(Duration delay);
  void ScheduleNextViewRead();
  void ReadView();
  void ReadViewRow();
  // The view in the row; nothing, with a log line, if it can't be read.
  std::optional<View> DecodeView(const std::optional<Row>& row);
  // Lists the address in the table again, and reads the view then.
  void Claim();
  void ReadClaimedView();
  // Adds this agent's id and admin endpoint to announcements of the upstream.
  void OnUpstreamEvent(AgentEvent event);
  void SetUpstream(const AgentDescription& description,
                   const Endpoint& endpoint);
  [[nodiscard]] nlohmann::json Status() const;
  // Called before metrics are read.
  void UpdateGauges();

  void Apply(SendToEntry& effect);
  void Apply(const RunOnUpstream& effect);
  void Apply(const StopOnUpstream& effect);
  void Apply(const ConnectToMembers& effect);
  void Apply(const AgentDrained& effect);
  void Apply(const StartRefusalCounted& effect);
  // Logged by the decision log; UpdateGauges reads the state.
  void Apply(const OwnEvacuationChanged& /*effect*/) {}
  // PlatformUpstream itself queries the renewal state for each lease.
  void Apply(const RenewalChanged& effect);
  void Apply(const ReleaseAddress& effect);
  void Apply(const ClaimAddress& effect);

  AgentSettings settings;
  AgentId self;
  Metrics metrics;
  // The threads outlive all sockets and timers that run on them; the destructor
  // stops them before any member is destroyed.
  ThreadGroup core_thread{1};
  // Not set if one thread runs everything.
  std::optional<ThreadGroup> network_threads;
  ThreadGroup& input_output;
  ClientLimits client_limits;
  ReasonCounters refusals;
  AgentCore core;
  AgentDecisionLog log;
  Endpoint upstream_endpoint;
  // At most one of the two is set, depending on the upstream's protocol.
  std::unique_ptr<UpstreamClient> upstream;
  std::unique_ptr<PlatformUpstream> platform_upstream;
  std::unique_ptr<AgentLinks> links;
  std::unique_ptr<RecordUploader<AgentCore>> records;
  std::unique_ptr<TableClient> table;
  std::unique_ptr<AgentRowWriter> row_writer;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer claim_timer;
  boost::asio::steady_timer view_timer;
  ViewReading view_reading;
  std::unique_ptr<HttpServer> admin_server;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_SERVER_H_
