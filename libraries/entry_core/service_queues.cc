#include "libraries/entry_core/service_queues.h"

namespace dandelionspur {

void ServiceQueues::ApplyDocument(const ServiceDocument& document) {
  if (ServiceState* service = this->Find(document.service)) {
    service->Apply(document);
    return;
  }
  this->services.emplace(document.service,
                         ServiceState(document, this->placement_seed));
}

ServiceState* ServiceQueues::Find(const ServiceName& service) {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second;
}

void ServiceQueues::AddTask(HomeJob& job, TaskIndex task) {
  ServiceState* service = this->Of(job);
  if (service == nullptr) return;
  const Duration core_time = job.submission.tasks[task.value()].CoreTime();
  service->Dequeue(job);
  job.queued.push_back(task);
  job.queued_work += core_time;
  service->TaskQueued(job.submission.group, core_time);
  this->Enqueue(job, *service);
}

TaskIndex ServiceQueues::TakeTask(HomeJob& job, ServiceState& service) {
  const TaskIndex task = job.queued.back();
  const Duration core_time = job.submission.tasks[task.value()].CoreTime();
  service.Dequeue(job);
  job.queued.pop_back();
  job.queued_work -= core_time;
  service.TaskUnqueued(job.submission.group, core_time);
  this->Enqueue(job, service);
  return task;
}

void ServiceQueues::Remove(HomeJob& job) {
  ServiceState* service = this->Of(job);
  if (service == nullptr) return;
  service->Dequeue(job);
  for (const TaskIndex task : job.queued) {
    service->TaskUnqueued(job.submission.group,
                          job.submission.tasks[task.value()].CoreTime());
  }
  job.queued.clear();
  job.queued_work = Duration();
}

void ServiceQueues::Reposition(HomeJob& job) {
  ServiceState* service = this->Of(job);
  if (service == nullptr || !job.is_queued) return;
  service->Dequeue(job);
  this->Enqueue(job, *service);
}

void ServiceQueues::MarkLate(HomeJob& job, ServiceState& service) {
  service.Dequeue(job);
  job.is_late = true;
  this->Enqueue(job, service);
}

void ServiceQueues::Enqueue(HomeJob& job, ServiceState& service) {
  service.Enqueue(job, this->agents.CoresOf(job.submission.service));
}

}  // namespace dandelionspur
