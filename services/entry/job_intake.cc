#include "services/entry/job_intake.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/base/enum_name.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/entry_core/submission_validator.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

using SteadyClock = std::chrono::steady_clock;

const char* DetailOf(ScarceResource resource) {
  switch (resource) {
    case ScarceResource::kLink:
      return "the link of this entry is full";
    case ScarceResource::kMemory:
      return "the memory of this entry is full";
    case ScarceResource::kDelay:
      return "this entry is behind with its work";
    case ScarceResource::kPeer:
      return "the connection to the job's home is full";
  }
  return "";
}

}  // namespace

JobIntake::JobIntake(asio::io_context& core_context, LoadMonitor& load_monitor,
                     GracefulShutdown& graceful_shutdown,
                     WaitingCallers& waiting, ReasonCounters& refusal_counters,
                     Metrics& counters, CoreHandler core_handler)
    : context(core_context),
      load(load_monitor),
      shutdown(graceful_shutdown),
      waiting_callers(waiting),
      refusals(refusal_counters),
      metrics(counters),
      handle(std::move(core_handler)),
      call_waits(counters.HistogramFor("stage_seconds", "stage", "call_wait")) {
}

void JobIntake::Submit(JobSubmission job, AnswerCallback callback) {
  asio::post(
      this->context,
      [this, submission = std::move(job), done = std::move(callback),
       arrived = SteadyClock::now(), read_at = WallClockNow()]() mutable {
        this->load.RecordQueueDelay(arrived);
        this->Enqueue(std::move(submission), std::move(done), read_at);
      });
}

void JobIntake::Cancel(JobSubmission job, AnswerCallback callback) {
  asio::post(this->context,
             [this, cancelled = std::move(job), done = std::move(callback),
              arrived = SteadyClock::now()]() mutable {
               this->load.RecordQueueDelay(arrived);
               this->SubmitWaiting(cancelled.key);
               const RequestId request =
                   this->waiting_callers.Add(cancelled, std::move(done));
               this->handle(CallerCancelled{cancelled.key, request});
             });
}

void JobIntake::Enqueue(JobSubmission job, AnswerCallback callback,
                        Timestamp arrived) {
  if (job.kind != SubmissionKind::kRun) {
    this->SubmitWaiting(job.key);
    this->SubmitNow(std::move(job), std::move(callback));
    return;
  }
  const Duration slack = job.Slack();
  this->calls.Push({std::move(job), std::move(callback)}, slack, arrived);
  this->ScheduleTurn();
}

void JobIntake::ScheduleTurn() {
  if (this->turn_is_posted || this->calls.empty()) return;
  this->turn_is_posted = true;
  asio::post(this->context, [this, posted = SteadyClock::now()] {
    this->load.RecordQueueDelay(posted);
    this->turn_is_posted = false;
    this->TakeTurn();
    this->ScheduleTurn();
  });
}

void JobIntake::TakeTurn() {
  this->shutdown.TakeDueSteps();
  // Too late for any job: nothing may wait when the process ends.
  if (!this->shutdown.CanAnswerWithin(Duration())) {
    this->SubmitAllWaiting();
    return;
  }
  CallQueue<Call>::Turn turn = this->calls.Take(WallClockNow());
  for (const CallQueue<Call>::Refused& late : turn.refused) {
    this->RefuseLate(late);
  }
  if (turn.next) this->SubmitDue(std::move(*turn.next));
}

void JobIntake::SubmitWaiting(const JobKey& key) {
  this->SubmitMatching([&](const Call& call) { return call.job.key == key; });
}

void JobIntake::SubmitAllWaiting() {
  this->SubmitMatching([](const Call&) { return true; });
}

void JobIntake::SubmitMatching(
    const std::function<bool(const Call&)>& matches) {
  std::vector<CallQueue<Call>::Due> waiting =
      this->calls.TakeMatching(matches, WallClockNow());
  for (CallQueue<Call>::Due& due : waiting) this->SubmitDue(std::move(due));
}

void JobIntake::SubmitDue(CallQueue<Call>::Due due) {
  this->call_waits.Observe(std::chrono::duration<double>(due.waited).count());
  JobSubmission& job = due.call.job;
  // The caller's time has passed while the job waited here.
  job.SetTimeLeft(job.time_allowed - due.waited);
  this->SubmitNow(std::move(job), std::move(due.call.callback));
}

void JobIntake::SubmitNow(JobSubmission job, AnswerCallback callback) {
  this->shutdown.TakeDueSteps();
  const bool is_new = job.kind == SubmissionKind::kRun;
  // A process that is behind with its work when it stops takes in no more.
  const bool must_refuse =
      is_new && this->shutdown.has_begun() && this->load.IsBehind();
  if (must_refuse || !this->shutdown.CanAnswerWithin(job.objective)) {
    callback(is_new ? this->RefuseDraining(job.name)
                    : JobAnswer::MayHaveRun(Reason::kHomeUnreachable));
    return;
  }
  const std::optional<Overload> overload = this->load.Check(job);
  if (is_new && overload) {
    callback(this->RefuseOverload(job, *overload));
    return;
  }
  if (is_new) this->load.NoteAdmitted(job);
  const RequestId request = this->waiting_callers.Add(job, std::move(callback));
  this->handle(CallerSubmitted{request, std::move(job)});
}

void JobIntake::RefuseLate(const CallQueue<Call>::Refused& late) {
  this->call_waits.Observe(std::chrono::duration<double>(late.waited).count());
  const Overload overload{ScarceResource::kDelay, late.retry_after};
  late.call.callback(this->RefuseOverload(late.call.job, overload));
}

JobAnswer JobIntake::RefuseDraining(const std::string& job) {
  this->refusals.Count(Reason::kDraining);
  LogEvent(LogCategory::kFailure, RequestRejected{job, "", Reason::kDraining,
                                                  "the entry is stopping"});
  // The request was not passed to the core or to another entry, so the tasks
  // certainly have not run.
  return SubmissionValidator::Reject(Reason::kDraining, "").answer;
}

JobAnswer JobIntake::RefuseOverload(const JobSubmission& job,
                                    const Overload& overload) {
  this->refusals.Count(Reason::kQueueFull);
  this->metrics.Count("overload_refusals_total", "resource",
                      EnumName(overload.resource));
  LogEvent(LogCategory::kFailure,
           RequestRejected{job.name, job.service.value(), Reason::kQueueFull,
                           DetailOf(overload.resource)});
  JobAnswer answer = SubmissionValidator::Reject(Reason::kQueueFull, "").answer;
  answer.retry_after = overload.retry_after;
  return answer;
}

}  // namespace dandelionspur
