#include "libraries/entry_core/job_finisher.h"

namespace dandelionspur {
namespace {

constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(100);
// The operators end an evacuation at a time that nobody knows.
constexpr Duration kRetryAfterWhileEvacuated = std::chrono::seconds(1);

// The tasks for which no completion or refusal has been received, with each
// agent that may run them.
std::vector<ReportedTask> StartedTasks(const HomeJob& job) {
  std::vector<ReportedTask> started;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    const TaskRecord& task = job.tasks[i];
    if (task.IsOutstanding()) {
      started.push_back({TaskIndex(i), task.agent, task.confirmation});
    }
    for (const AgentId agent : task.unsettled_agents) {
      started.push_back({TaskIndex(i), agent});
    }
  }
  return started;
}

}  // namespace

JobFinisher::JobFinisher(const EntryCoreSettings& configured,
                         const HomeContext& context,
                         const Admission& admission_control,
                         RefusalConfirmer& refusals)
    : ownership(context.ownership),
      jobs(context.jobs),
      queues(context.queues),
      outstanding(context.outstanding),
      outbox(context.outbox),
      admission(admission_control),
      confirmer(refusals),
      answer_cache(configured.maximum_answer_bytes,
                   configured.duplicate_window),
      settled_attempts(configured.duplicate_window) {}

void JobFinisher::Finish(HomeJob& job, const JobAnswer& answer, Timestamp now) {
  const JobKey key = job.submission.key;
  this->queues.Remove(job);
  // Those that agents have reported are among the started ones only once the
  // job has begun to run.
  const bool is_cancelled = this->ownership.IsCancelled(key);
  const std::vector<ReportedTask> started =
      job.phase == JobPhase::kRunning ? StartedTasks(job)
                                      : this->ownership.ReportedTasks(key);
  const std::vector<ReportedTask> stopped =
      is_cancelled ? started : StartedTasks(job);
  const Ballot ballot =
      this->ownership.Promised(this->ownership.BucketOfKey(key));
  for (const ReportedTask& run : stopped) {
    this->outbox.ToAgent(run.agent, StopTask{{key, run.task}, ballot});
  }
  for (const Waiter& waiter : job.waiters) {
    this->Answer(waiter, key, answer);
  }
  const bool may_run_again = job.IsRerunnable() &&
                             answer.verdict == Verdict::kMayHaveRun &&
                             !is_cancelled;
  if (may_run_again) {
    // A later submission of the key first queries the state of these tasks.
    this->ownership.Reopen(key, started);
  } else {
    // Kept until the agents have none of them any more.
    if (is_cancelled) this->ownership.SetReported(key, started);
    this->answer_cache.Insert(key, {job.submission.body_digest, answer}, now);
    this->ownership.Close(key, now);
  }
  this->Erase(job);
}

Duration JobFinisher::RetryAfter(const HomeJob& job, Reason reason,
                                 Timestamp now) const {
  if (reason == Reason::kNotReady) return kRetryAfterWhileEvacuated;
  const ServiceState* service = this->queues.Of(job);
  if (service == nullptr) return kMinimumRetryAfter;
  return kMinimumRetryAfter +
         this->admission.ExpectedWait(*service, job.submission.group, now);
}

void JobFinisher::Refuse(HomeJob& job, Reason reason, Timestamp now) {
  // A key that has expired or is inherited may have run earlier.
  const bool may_have_run = job.inherited || job.started > 0 ||
                            job.earlier == EarlierRelays::kOpen ||
                            reason == Reason::kKeyExpired;
  if (may_have_run) {
    this->Finish(job, JobAnswer::MayHaveRun(reason), now);
    return;
  }
  this->queues.Remove(job);
  this->jobs.Unblock(job.submission.key);
  job.phase = JobPhase::kRefusing;
  job.refusal = reason;
  JobRefused refused{job.submission.key, reason};
  if (const ServiceState* service = this->queues.Of(job)) {
    refused.queued_tasks = service->queued_tasks();
    const JobGroupId group = job.submission.group;
    refused.expected_wait = this->admission.ExpectedWait(*service, group, now);
    refused.cores =
        static_cast<std::uint64_t>(this->admission.CoresFor(*service, group));
  }
  job.retry_after = this->RetryAfter(job, reason, now);
  this->outbox.Add(refused);
  this->confirmer.Add(job.submission.key, job.submission.rerun);
  this->confirmer.Advance(now);
}

void JobFinisher::Abandon(HomeJob& job, Reason reason, Timestamp now) {
  if (job.phase == JobPhase::kRefusing) {
    // The refusal was not confirmed in time for "not run".
    if (reason == Reason::kDeadlineExceeded) {
      this->Finish(job, JobAnswer::MayHaveRun(job.refusal), now);
    }
    return;
  }
  this->Refuse(job, reason, now);
}

void JobFinisher::Remove(HomeJob& job) {
  this->queues.Remove(job);
  this->Erase(job);
}

void JobFinisher::Erase(HomeJob& job) {
  const JobKey key = job.submission.key;
  this->outstanding.RemoveAllOf(job);
  this->confirmer.Remove(key);
  this->jobs.Erase(key);
}

void JobFinisher::OnRefusalsConfirmed(
    const std::vector<ConfirmedRefusal>& confirmed, Timestamp now) {
  for (const ConfirmedRefusal& refusal : confirmed) {
    HomeJob* job = this->jobs.Find(refusal.key);
    if (job == nullptr || job->phase != JobPhase::kRefusing) continue;
    // A caller has joined whose earlier relay to another entry is still open.
    if (job->earlier == EarlierRelays::kOpen) {
      this->Finish(*job, JobAnswer::MayHaveRun(job->refusal), now);
      continue;
    }
    const JobAnswer answer =
        JobAnswer::NotRun(job->refusal, refusal.proof, job->retry_after);
    for (const Waiter& waiter : job->waiters) {
      this->Answer(waiter, refusal.key, answer);
      if (const auto* origin = std::get_if<RelayOrigin>(&waiter)) {
        this->settled_attempts.Add(refusal.key, *origin, RelayedStarts::kNone,
                                   now);
      }
    }
    // The refusal is not cached, since a later submission of the key may run.
    this->Erase(*job);
  }
}

void JobFinisher::Answer(const Waiter& waiter, const JobKey& key,
                         const JobAnswer& answer) {
  if (const RequestId* request = std::get_if<RequestId>(&waiter)) {
    this->outbox.Answer(*request, key, answer);
    return;
  }
  const RelayOrigin& origin = std::get<RelayOrigin>(waiter);
  const BucketId bucket = this->ownership.BucketOfKey(key);
  this->outbox.ToPeer(origin.entry,
                      RelayAnswer{key, origin.attempt,
                                  this->ownership.Promised(bucket), answer});
}

void JobFinisher::ReturnRelay(const JobKey& key, const RelayOrigin& origin,
                              RelayedStarts starts, Timestamp now) {
  this->settled_attempts.Add(key, origin, starts, now);
  const BucketId bucket = this->ownership.BucketOfKey(key);
  this->outbox.ToPeer(
      origin.entry,
      RelayMoved{key, origin.attempt, this->ownership.Promised(bucket),
                 this->settled_attempts.StartsOf(key, origin.entry)});
}

void JobFinisher::Expire(Timestamp now) {
  this->answer_cache.Expire(now);
  this->settled_attempts.Expire(now);
}

}  // namespace dandelionspur
