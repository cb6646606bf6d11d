#ifndef DANDELIONSPUR_SERVICES_ENTRY_JOB_INTAKE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_JOB_INTAKE_H_

#include <prometheus/histogram.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "libraries/entry_core/call_queue.h"
#include "libraries/entry_core/entry_events.h"
#include "libraries/telemetry/metrics.h"
#include "services/entry/graceful_shutdown.h"
#include "services/entry/load_monitor.h"
#include "services/entry/waiting_callers.h"
#include "services/runtime/message_counters.h"

namespace dandelionspur {

// Passes the requests of callers to the core. New jobs wait here for their
// turn, and are refused while a resource of the instance is scarce or when the
// process is about to end. Used on the core's thread only, except where noted.
class JobIntake {
 public:
  // Has the core handle an event. Called on the core's thread.
  using CoreHandler = std::function<void(const EntryEvent&)>;

  JobIntake(boost::asio::io_context& core_context, LoadMonitor& load_monitor,
            GracefulShutdown& graceful_shutdown, WaitingCallers& waiting,
            ReasonCounters& refusal_counters, Metrics& counters,
            CoreHandler core_handler);
  JobIntake(const JobIntake&) = delete;
  JobIntake& operator=(const JobIntake&) = delete;

  // Submits a job. Invokes the callback exactly once, on the core's thread.
  // Safe from any thread.
  void Submit(JobSubmission job, AnswerCallback callback);
  // Cancels the job with the key of `job`. Invokes the callback exactly once,
  // on the core's thread, as soon as it is known whether the cancelling holds.
  // Safe from any thread.
  void Cancel(JobSubmission job, AnswerCallback callback);
  // The number of new jobs that wait for their turn.
  [[nodiscard]] std::size_t waiting_count() const { return this->calls.size(); }

 private:
  // A caller's job that waits for its turn.
  struct Call {
    JobSubmission job;
    AnswerCallback callback;
  };

  // Lets a new job wait for its turn. Anything else is submitted immediately,
  // after the calls that wait with the same key.
  void Enqueue(JobSubmission job, AnswerCallback callback, Timestamp arrived);
  // Posts a turn unless there is one. Between two turns all messages that have
  // arrived are handled, since the work in progress depends on them.
  void ScheduleTurn();
  void TakeTurn();
  // Submits all calls that wait with this key.
  void SubmitWaiting(const JobKey& key);
  // Submits all calls that wait, also those that will be refused.
  void SubmitAllWaiting();
  void SubmitMatching(const std::function<bool(const Call&)>& matches);
  void SubmitDue(CallQueue<Call>::Due due);
  // Passes the submission to the core, unless it must be refused.
  void SubmitNow(JobSubmission job, AnswerCallback callback);
  // Refuses a call that has waited too long.
  void RefuseLate(const CallQueue<Call>::Refused& late);
  // Refuses a submission that has not been passed to the core, since the
  // process is about to end.
  JobAnswer RefuseDraining(const std::string& job);
  // Refuses a new job because a resource of the instance has no room for it.
  JobAnswer RefuseOverload(const JobSubmission& job, const Overload& overload);

  boost::asio::io_context& context;
  LoadMonitor& load;
  GracefulShutdown& shutdown;
  WaitingCallers& waiting_callers;
  ReasonCounters& refusals;
  Metrics& metrics;
  CoreHandler handle;
  prometheus::Histogram& call_waits;
  CallQueue<Call> calls;
  bool turn_is_posted = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_JOB_INTAKE_H_
