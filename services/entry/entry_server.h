#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libraries/configuration/settings.h"
#include "libraries/decision_log/entry_decision_log.h"
#include "libraries/entry_core/entry_core.h"
#include "libraries/telemetry/work_delay.h"
#include "services/entry/caller_routes.h"
#include "services/entry/document_routes.h"
#include "services/entry/entry_links.h"
#include "services/entry/serving_state.h"
#include "services/entry/table_watcher.h"
#include "services/runtime/record_keeper.h"

namespace dandelionspur {

// One entry process: the core on a thread of its own, and around it the
// threads that serve HTTP and the links, the table, and the recorder.
class EntryServer {
 public:
  static Result<std::unique_ptr<EntryServer>> Create(
      const EntrySettings& settings);
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;
  ~EntryServer();

  // Begins a planned stop; the process's lifetime ends when it is done.
  void Drain();

  // Puts changed settings into force where that needs no new start. Called
  // from the thread that calls Drain().
  void Reconfigure(const EntrySettings& changed);

 private:
  using SteadyClock = std::chrono::steady_clock;

  explicit EntryServer(const EntrySettings& configured, EntryId self);
  Result<void> Listen();

  // When a planned stop goes on to what comes next.
  struct StopSchedule {
    using Time = std::chrono::steady_clock::time_point;
    // No connection is accepted after this.
    Time callers_close;
    // No request is taken in; callers that still wait are told that their jobs
    // may have run.
    Time answers_due;
    // The records are written and the process ends, whatever is still open.
    Time overdue;
  };

  // A caller that waits for the core's answer.
  struct Waiting {
    AnswerCallback callback;
    std::string job;
    ServiceName service;
  };

  // Whether a planned stop leaves this much time.
  [[nodiscard]] bool CanAnswerIn(Duration time) const;
  // Refuses a submission that has gone no further than here.
  JobAnswer Refuse(const std::string& job);
  // The planned stop, on the core's thread.
  void FollowSchedule();
  void AtStopTime(StopSchedule::Time time, void (EntryServer::*step)());
  void CloseCallers();
  void AnswerWaiting();
  void GiveUpDrain();
  void FinishIfDrained();
  void FinishDrain();

  // Any thread.
  void Post(EntryEvent event);
  // Any thread, but not while the core handles an event or its effects are
  // carried out: at once on the core's thread.
  void HandleSoon(EntryEvent event);
  void HandleReadiness(const HttpResponder& responder);
  void HandleAdmin(const HttpRequest& request, const HttpResponder& responder);

  // The core's thread.
  void Handle(const EntryEvent& event);
  void ScheduleTick();
  // An event that came to this process at `arrived` has its turn.
  void NoteWait(SteadyClock::time_point arrived);
  // Tells how far the process is behind with its work.
  void ObserveDelay(Duration tick_lateness);
  void Submit(JobSubmission job, AnswerCallback callback);
  void PublishServingState();
  [[nodiscard]] nlohmann::json Status() const;
  // Before metrics are read.
  void UpdateGauges();

  void Apply(AnswerCaller& effect);
  void Apply(SendToPeer& effect);
  void Apply(SendToAgent& effect);
  void Apply(const ProposeView& effect);
  void Apply(const ViewInForce& effect);
  void Apply(const DocumentInForce& effect);
  void Apply(const RetryCounted& effect);
  void Apply(const OwnershipChanged& effect);
  void Apply(const RemovedFromView& effect);
  void Apply(const JobRefused& effect);
  // Logged only.
  void Apply(const AgentLost& /*effect*/) {}
  void Apply(const EntryDrained& effect);

  EntrySettings settings;
  EntryId self;
  Metrics metrics;
  // Outlive everything that has sockets or timers on them; the destructor
  // ends the threads first of all.
  ThreadGroup core_thread{1};
  // Missing where one thread does everything.
  std::optional<ThreadGroup> more_threads;
  ThreadGroup& input_output;
  ReasonCounters retries;
  ReasonCounters refusals;
  MessageCounters<AgentMessage> agent_messages;
  WorkDelay work_delay;
  PaceWatch pace;
  prometheus::Histogram& work_delays;
  PublishedServingState serving;
  ServingState serving_draft;
  EntryCore core;
  EntryDecisionLog log;
  std::map<RequestId, Waiting> waiting;
  std::uint64_t last_request = 0;
  std::unique_ptr<EntryLinks> links;
  std::unique_ptr<RecordKeeper<EntryCore>> records;
  std::unique_ptr<TableWatcher> table;
  std::unique_ptr<CallerRoutes> caller_routes;
  std::unique_ptr<DocumentRoutes> document_routes;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer drain_timer;
  std::atomic<bool> drain_requested = false;
  // Whether the schedule is set.
  std::atomic<bool> draining = false;
  StopSchedule stop_schedule;
  bool core_is_drained = false;
  bool callers_are_answered = false;
  bool is_finishing = false;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<HttpServer> readiness_server;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_SERVER_H_
