#include "libraries/entry_core/admission.h"

#include <algorithm>

namespace dandelionspur {
namespace {

Duration WaitFor(Duration core_time, const ServiceState& service,
                 double cores) {
  const double wait =
      static_cast<double>(core_time.count()) * service.declared_error() / cores;
  return Duration(static_cast<std::int64_t>(wait));
}

}  // namespace

std::optional<Reason> Admission::Check(const HomeJob& job,
                                       const ServiceState* service,
                                       Timestamp now) const {
  if (service == nullptr) return Reason::kUnknownService;
  const ServiceDocument& document = service->document();
  if (!service->Admits(job.submission.client_account)) {
    return Reason::kQuotaExceeded;
  }
  if (job.tasks.size() > document.maximum_tasks_per_job) {
    return Reason::kImpossibleJob;
  }
  const Duration window =
      std::min(document.duplicate_window, this->duplicate_window);
  const std::optional<Timestamp>& created = job.submission.created;
  if (created && *created + window < now) return Reason::kKeyExpired;
  if (service->queued_tasks() + job.tasks.size() >
      document.maximum_queued_tasks) {
    return Reason::kQueueFull;
  }
  if (this->agents.IsEvacuated(job.submission.service)) {
    return Reason::kNotReady;
  }
  const Resources capacity = this->agents.CapacityOf(job.submission.service);
  if (capacity.millicores == 0) return std::nullopt;
  const JobGroupId group = job.submission.group;
  const Duration wait = this->ExpectedWait(*service, group, now);
  if (wait > job.submission.time_allowed) return Reason::kDeadlineTooShort;
  // The few upstreams of a quarantined group start no job that is of no use.
  const bool would_be_useless =
      service->quarantine().Contains(group) && now + wait > job.UsefulUntil();
  if (would_be_useless) return Reason::kDeadlineTooShort;
  const std::vector<TaskRequest>& tasks = job.submission.tasks;
  const bool may_start =
      std::all_of(tasks.begin(), tasks.end(), [&](const TaskRequest& task) {
        return this->agents.MayEverHold(job.submission.service, task.need);
      });
  // No mistake of the caller: the capacity may grow again.
  if (!may_start) return Reason::kDeadlineTooShort;
  return std::nullopt;
}

bool Admission::MayEverStart(const HomeJob& job) const {
  return std::all_of(
      job.queued.begin(), job.queued.end(), [&](TaskIndex index) {
        return this->agents.MayEverHold(
            job.submission.service, job.submission.tasks[index.value()].need);
      });
}

Duration Admission::ExpectedWait(const ServiceState& service, JobGroupId group,
                                 Timestamp now) const {
  const Quarantine& quarantine = service.quarantine();
  if (quarantine.Contains(group)) {
    return WaitInQuarantine(service, group, service.QueuedWorkOf(group), now);
  }
  Duration work = service.queued_work() + service.peer_backlog().in_time;
  for (const JobGroupId quarantined : quarantine.Groups()) {
    work -= service.QueuedWorkOf(quarantined);
  }
  return WaitFor(work, service, this->CoresFor(service, group));
}

Duration Admission::WaitInQuarantine(const ServiceState& service,
                                     JobGroupId group, Duration core_time,
                                     Timestamp now) const {
  const Quarantine& quarantine = service.quarantine();
  return quarantine.UntilUsable(group, now) +
         WaitFor(core_time, service, this->CoresFor(service, group));
}

double Admission::CoresFor(const ServiceState& service,
                           JobGroupId group) const {
  const Quarantine& quarantine = service.quarantine();
  if (!quarantine.IsActive()) {
    return static_cast<double>(
        this->agents.CoresOf(service.document().service));
  }
  const double cores = quarantine.Contains(group)
                           ? quarantine.UsableCoresOf(group)
                           : quarantine.UsableCoresOutside();
  return std::max(1.0, cores);
}

}  // namespace dandelionspur
