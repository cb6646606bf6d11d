#include "libraries/entry_core/early_refusals.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Whether the job has no starts, and tasks that are started after `wait` are
// started too late. A job with starts continues, as it could only be
// answered "may have run".
bool IsTooLate(const HomeJob& job, Duration wait, Timestamp useful_until,
               Timestamp now) {
  return job.HasNoStarts() && now + wait > useful_until;
}

}  // namespace

void EarlyRefusals::AbandonBeforeDeadlines(Timestamp now) {
  for (const JobKey& key : this->jobs.DueBy(now + kRefusalLead)) {
    HomeJob* job = this->jobs.Find(key);
    if (job == nullptr) continue;
    const bool may_be_refused =
        job->HasNoStarts() && job->phase != JobPhase::kRefusing;
    const Timestamp end = may_be_refused ? job->RefuseBy() : job->AnswerBy();
    if (now < end) continue;
    this->finisher.Abandon(*job, Reason::kDeadlineExceeded, now);
  }
}

void EarlyRefusals::RefuseUnservable(Timestamp now) {
  for (auto& [name, service] : this->queues.all()) {
    // Without upstreams the wait cannot be estimated and counts as zero.
    const bool has_capacity = this->agents.CapacityOf(name).millicores > 0;
    for (const JobKey& key : service.LateJobs()) {
      HomeJob& job = this->jobs.At(key);
      const Duration wait =
          has_capacity
              ? this->admission.ExpectedWait(service, job.submission.group, now)
              : Duration();
      if (!IsTooLate(job, wait, job.RefuseBy(), now)) continue;
      this->finisher.Refuse(job, Reason::kDeadlineTooShort, now);
    }
  }
}

void EarlyRefusals::RefuseUnservableInQuarantine(ServiceState& service,
                                                 Timestamp now) {
  for (const JobGroupId group : service.quarantine().Groups()) {
    Duration ahead{};
    for (const JobKey& key : service.JobsOf(group)) {
      HomeJob& job = this->jobs.At(key);
      const Duration wait =
          this->admission.WaitInQuarantine(service, group, ahead, now);
      const Timestamp useful_until =
          std::min(job.UsefulUntil(), job.RefuseBy());
      if (IsTooLate(job, wait, useful_until, now)) {
        this->finisher.Refuse(job, Reason::kDeadlineTooShort, now);
        continue;
      }
      ahead += job.queued_work;
    }
  }
}

void EarlyRefusals::RefuseOversized(const ServiceName& service, Timestamp now) {
  const std::vector<JobKey> oversized =
      this->jobs.KeysOf([&](const HomeJob& job) {
        return job.submission.service == service &&
               !this->admission.MayEverStart(job);
      });
  for (const JobKey& key : oversized) {
    this->finisher.Refuse(this->jobs.At(key), Reason::kDeadlineTooShort, now);
  }
}

void EarlyRefusals::RefuseEvacuated(Timestamp now) {
  for (auto& [name, service] : this->queues.all()) {
    if (service.queued_tasks() == 0 || !this->agents.IsEvacuated(name)) {
      continue;
    }
    const ServiceName evacuated = name;
    const std::vector<JobKey> unservable =
        this->jobs.KeysOf([&](const HomeJob& job) {
          return job.submission.service == evacuated &&
                 job.phase == JobPhase::kRunning && job.HasNoStarts();
        });
    for (const JobKey& key : unservable) {
      this->finisher.Refuse(this->jobs.At(key), Reason::kNotReady, now);
    }
  }
}

void EarlyRefusals::DeprioritizeOverdue(ServiceState& service, Timestamp now) {
  for (const JobKey& key : service.OverdueJobs(now)) {
    HomeJob& job = this->jobs.At(key);
    this->queues.MarkLate(job, service);
    const Duration wait =
        this->admission.ExpectedWait(service, job.submission.group, now);
    if (!IsTooLate(job, wait, job.UsefulUntil(), now)) continue;
    this->finisher.Refuse(job, Reason::kDeadlineTooShort, now);
  }
}

}  // namespace dandelionspur
