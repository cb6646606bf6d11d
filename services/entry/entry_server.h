#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libraries/configuration/settings.h"
#include "libraries/decision_log/entry_decision_log.h"
#include "libraries/entry_core/call_queue.h"
#include "libraries/entry_core/entry_core.h"
#include "libraries/telemetry/event_loop_delay.h"
#include "services/entry/caller_routes.h"
#include "services/entry/configuration_age.h"
#include "services/entry/document_routes.h"
#include "services/entry/entry_links.h"
#include "services/entry/graceful_shutdown.h"
#include "services/entry/load_guard.h"
#include "services/entry/peer_queues.h"
#include "services/entry/serving_state.h"
#include "services/entry/table_watcher.h"
#include "services/entry/waiting_callers.h"
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
  // A caller's job that waits for its turn.
  struct Call {
    JobSubmission job;
    AnswerCallback callback;
  };

  explicit EntryServer(const EntrySettings& configured, EntryId self);
  Result<void> Listen();

  // Refuses a submission that has not been passed to the core.
  JobAnswer Refuse(const std::string& job);
  // Refuses a new job because a resource of the instance has no room for it.
  JobAnswer RefuseOverload(const JobSubmission& job, const Overload& overload);
  // Safe from any thread.
  void Post(EntryEvent event);
  // Handles the event immediately on the core's thread, or posts it from any
  // other thread. Must not be called while the core handles an event or while
  // its effects are applied.
  void Dispatch(EntryEvent event);
  // Counts and logs how a caller's connection has ended. Safe from any thread.
  void OnCallerGone(const HttpConnectionReport& report);
  void HandleReadiness(const HttpResponder& responder);
  void HandleAdmin(const HttpRequest& request, const HttpResponder& responder);

  // On the core's thread only.
  void Handle(const EntryEvent& event);
  void ScheduleTick();
  // Records how long an event that arrived at `arrived` waited in the queue.
  void RecordQueueDelay(SteadyClock::time_point arrived);
  // Updates the delay metric, and logs when the process falls behind or has
  // caught up.
  void ObserveDelay(Duration tick_lateness);
  // Records the memory in use for the load guard.
  void ObserveMemory(SteadyClock::time_point now);
  // Logs the peers whose queues have become full or have room again.
  void ObservePeerQueues();
  // Logs, once a second, if messages have used most of the link.
  void ObserveLink(SteadyClock::time_point now);
  // Why no new job with this submission may be taken in, or nothing.
  [[nodiscard]] std::optional<Overload> CheckLoad(
      const JobSubmission& job) const;
  // Lets a new job wait for its turn. Anything else is submitted immediately,
  // after the calls that wait with the same key.
  void Enqueue(JobSubmission job, AnswerCallback callback, Timestamp arrived);
  // Posts a turn unless there is one. Between two turns all messages that have
  // arrived are handled, since the work in progress depends on them.
  void ScheduleCallTurn();
  void TakeCallTurn();
  // Submits all calls that wait with this key.
  void SubmitWaiting(const JobKey& key);
  // Submits all calls that wait, also those that will be refused.
  void SubmitAllWaiting();
  void SubmitMatching(const std::function<bool(const Call&)>& matches);
  void SubmitDue(CallQueue<Call>::Due due);
  // Refuses a call that has waited too long.
  void RefuseLate(const CallQueue<Call>::Refused& late);
  void Submit(JobSubmission job, AnswerCallback callback);
  // Writes the records and ends the process, or the server of an entry that
  // begins anew.
  void Exit();
  void PublishServingState();
  [[nodiscard]] nlohmann::json Status() const;
  void SetMemoryGauges();
  // Called before metrics are read.
  void UpdateGauges();

  void Apply(AnswerCaller& effect);
  void Apply(const CancelAnswered& effect);
  void Apply(SendToPeer& effect);
  void Apply(SendToAgent& effect);
  void Apply(const ProposeView& effect);
  void Apply(const ViewInForce& effect);
  void Apply(const DocumentInForce& effect);
  void Apply(const RetryCounted& effect);
  void Apply(const OwnershipChanged& effect);
  void Apply(const RemovedFromView& effect);
  void Apply(const JobRefused& effect);
  void Apply(const QuarantineChanged& effect);
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
  ReasonCounters retries;
  ReasonCounters refusals;
  MessageCounters<AgentMessage> agent_messages;
  EventLoopDelay work_delay;
  LagDetector pace;
  LoadGuard load_guard;
  PeerQueues peer_queues;
  SteadyClock::time_point next_link_check;
  prometheus::Histogram& publish_times;
  prometheus::Histogram& work_delays;
  prometheus::Histogram& call_waits;
  PublishedServingState serving;
  ServingState next_serving_state;
  ConfigurationAge configuration_age;
  EntryCore core;
  EntryDecisionLog log;
  CallQueue<Call> calls;
  bool call_turn_is_posted = false;
  WaitingCallers waiting_callers;
  GracefulShutdown shutdown;
  std::unique_ptr<EntryLinks> links;
  std::unique_ptr<RecordUploader<EntryCore>> records;
  std::unique_ptr<TableWatcher> table;
  std::unique_ptr<CallerRoutes> caller_routes;
  std::unique_ptr<DocumentRoutes> document_routes;
  boost::asio::steady_timer tick_timer;
  std::atomic<bool> drain_requested = false;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<HttpServer> readiness_server;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_
