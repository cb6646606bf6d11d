#include "libraries/entry_core/admission.h"

#include <algorithm>

namespace dandelionspur {

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
  const Resources capacity = this->agents.CapacityOf(job.submission.service);
  if (capacity.millicores == 0) return std::nullopt;
  if (this->ExpectedWait(*service) > job.submission.time_allowed) {
    return Reason::kDeadlineTooShort;
  }
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

Duration Admission::ExpectedWait(const ServiceState& service) const {
  const std::int64_t cores = this->agents.CoresOf(service.document().service);
  const double wait = static_cast<double>(service.queued_work().count()) *
                      service.declared_error() / static_cast<double>(cores);
  return Duration(static_cast<std::int64_t>(wait));
}

}  // namespace dandelionspur
