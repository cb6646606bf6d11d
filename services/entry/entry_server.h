#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "libraries/configuration/settings.h"
#include "libraries/decision_log/entry_decision_log.h"
#include "libraries/entry_core/entry_core.h"
#include "services/entry/caller_routes.h"
#include "services/entry/configuration_age.h"
#include "services/entry/document_routes.h"
#include "services/entry/entry_admin_routes.h"
#include "services/entry/entry_gauges.h"
#include "services/entry/entry_links.h"
#include "services/entry/entry_status.h"
#include "services/entry/graceful_shutdown.h"
#include "services/entry/job_intake.h"
#include "services/entry/large_request_gate.h"
#include "services/entry/load_monitor.h"
#include "services/entry/serving_state.h"
#include "services/entry/table_watcher.h"
#include "services/entry/waiting_callers.h"
#include "services/runtime/client_limits.h"
#include "services/runtime/record_uploader.h"

namespace dandelionspur {

// One entry process: the core on a thread of its own, and the threads for HTTP,
// the links to agents and other entries, the table service and the recorder.
class EntryServer {
 public:
  static Result<std::unique_ptr<EntryServer>> Create(
      const EntrySettings& settings);
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;
  ~EntryServer();

  // Begins a graceful shutdown, after which the process exits. Later calls do
  // nothing.
  void Drain();

  // Applies the changed settings that don't need a restart. Must be called from
  // the thread that calls Drain().
  void Reconfigure(const EntrySettings& changed);

 private:
  using SteadyClock = std::chrono::steady_clock;

  explicit EntryServer(const EntrySettings& configured, EntryId self);
  // Creates the parts that listen or connect, and starts them.
  Result<void> Listen();
  // The steps of Listen(), in order.
  void CreateTable();
  Result<void> CreateLinks();
  Result<void> ListenToCallers();
  Result<void> ListenToOperators();
  Result<void> ListenToProbes();

  // Safe from any thread.
  void Post(EntryEvent event);
  // Handles the event immediately on the core's thread, or posts it from any
  // other thread. Must not be called while the core handles an event or while
  // its effects are applied.
  void Dispatch(EntryEvent event);
  // Counts and logs how a caller's connection has ended. Safe from any thread.
  void OnCallerGone(const HttpConnectionReport& report);
  // Handles a request of a caller. Safe from any thread.
  void HandleCaller(const HttpRequest& request, HttpResponder responder);
  void HandleReadiness(const HttpResponder& responder);

  // On the core's thread only.
  void Handle(const EntryEvent& event);
  void ScheduleTick();
  // Writes the records and ends the process, or the server of an entry that
  // begins anew.
  void Exit();
  void PublishServingState();

  void Apply(AnswerCaller& effect);
  void Apply(const CancelAnswered& effect);
  void Apply(SendToPeer& effect);
  void Apply(SendToAgent& effect);
  void Apply(const ProposeView& effect);
  void Apply(const ReleaseAgentAddress& effect);
  void Apply(const ViewInForce& effect);
  void Apply(const DocumentInForce& effect);
  void Apply(const RetryCounted& effect);
  void Apply(const OwnershipChanged& effect);
  void Apply(const RemovedFromView& effect);
  void Apply(const JobRefused& effect);
  void Apply(const QuarantineChanged& effect);
  void Apply(const EvacuationChanged& effect);
  void Apply(const InterferenceChanged& effect);
  void Apply(const AgentLost& effect);
  void Apply(const EntryDrained& effect);

  EntrySettings settings;
  EntryId self;
  Metrics metrics;
  // The threads outlive all sockets and timers that run on them; the destructor
  // stops them before any member is destroyed.
  ThreadGroup core_thread{1};
  // Not set if one thread runs everything.
  std::optional<ThreadGroup> network_threads;
  ThreadGroup& input_output;
  ClientLimits client_limits;
  LargeRequestGate large_requests;
  ReasonCounters retries;
  ReasonCounters refusals;
  MessageCounters<AgentMessage> agent_messages;
  prometheus::Histogram& publish_times;
  PublishedServingState serving;
  ServingState next_serving_state;
  ConfigurationAge configuration_age;
  EntryCore core;
  EntryDecisionLog log;
  EntryStatus status;
  WaitingCallers waiting_callers;
  GracefulShutdown shutdown;
  std::unique_ptr<EntryLinks> links;
  std::unique_ptr<LoadMonitor> load_monitor;
  std::unique_ptr<JobIntake> intake;
  std::unique_ptr<RecordUploader<EntryCore>> records;
  std::unique_ptr<TableWatcher> table;
  std::unique_ptr<CallerRoutes> caller_routes;
  std::unique_ptr<DocumentRoutes> document_routes;
  std::unique_ptr<EntryGauges> gauges;
  std::unique_ptr<PreviewRoute> preview_route;
  std::unique_ptr<EntryAdminRoutes> admin_routes;
  boost::asio::steady_timer tick_timer;
  std::atomic<bool> drain_requested = false;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<HttpServer> readiness_server;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_
