#ifndef DANDELIONSPUR_SERVICES_AGENT_AGENT_SERVER_H_
#define DANDELIONSPUR_SERVICES_AGENT_AGENT_SERVER_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "libraries/agent_core/agent_core.h"
#include "libraries/configuration/settings.h"
#include "libraries/decision_log/agent_decision_log.h"
#include "platform/table_client.h"
#include "services/agent/agent_links.h"
#include "services/agent/platform_upstream.h"
#include "services/agent/upstream_client.h"
#include "services/runtime/record_keeper.h"

namespace dandelionspur {

// One agent process: the core on a thread of its own, which also talks to the
// upstream, and threads for the links and the recorder.
class AgentServer {
 public:
  static Result<std::unique_ptr<AgentServer>> Create(
      const AgentSettings& settings);
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;
  ~AgentServer();

  // Begins a planned stop: refuses starts at once, ends when nothing runs.
  void Drain();

  // Puts changed settings into force where that needs no new start. Called
  // from the thread that calls Drain().
  void Reconfigure(const AgentSettings& changed);

 private:
  AgentServer(const AgentSettings& configured, AgentId own);
  Result<void> Listen();

  // Any thread.
  void Post(AgentEvent event);
  void HandleAdmin(const HttpRequest& request, const HttpResponder& responder);
  void Announce(const HttpRequest& request, const HttpResponder& responder);

  // The core's thread.
  void Handle(const AgentEvent& event);
  void ScheduleTick();
  void ScheduleViewRead(Duration delay);
  // Completes what the upstream tells of itself.
  void OnUpstreamEvent(AgentEvent event);
  void AdoptUpstream(const AgentDescription& description,
                     const Endpoint& endpoint);
  [[nodiscard]] nlohmann::json Status() const;
  // Before metrics are read.
  void UpdateGauges();

  void Apply(SendToEntry& effect);
  void Apply(const RunOnUpstream& effect);
  void Apply(const StopOnUpstream& effect);
  void Apply(const ConnectToMembers& effect);
  void Apply(const AgentDrained& effect);
  void Apply(const StartRefusalCounted& effect);
  // Logged only: the upstream's side asks at each lease.
  void Apply(const RenewalChanged& /*effect*/) {}

  AgentSettings settings;
  AgentId self;
  Metrics metrics;
  // Outlive everything that has sockets or timers on them; the destructor
  // ends the threads first of all.
  ThreadGroup core_thread{1};
  // Missing where one thread does everything.
  std::optional<ThreadGroup> more_threads;
  ThreadGroup& input_output;
  ReasonCounters refusals;
  AgentCore core;
  AgentDecisionLog log;
  Endpoint upstream_endpoint;
  // One of the two, by the protocol of the upstream.
  std::unique_ptr<UpstreamClient> upstream;
  std::unique_ptr<PlatformUpstream> platform_upstream;
  std::unique_ptr<AgentLinks> links;
  std::unique_ptr<RecordKeeper<AgentCore>> records;
  std::unique_ptr<TableClient> table;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer view_timer;
  std::unique_ptr<HttpServer> admin_server;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_SERVER_H_
