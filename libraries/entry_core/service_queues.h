#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_QUEUES_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_QUEUES_H_

#include <cstdint>
#include <map>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/service_state.h"

namespace dandelionspur {

// The services known to a home and the queues of their jobs. Keeps what a job
// records of its queued tasks, its position in the queue and the totals of its
// service consistent with each other.
class ServiceQueues {
 public:
  ServiceQueues(std::uint64_t seed, const AgentRegistry& registry)
      : placement_seed(seed), agents(registry) {}

  void ApplyDocument(const ServiceDocument& document);
  // Return nullptr if no such service is known.
  [[nodiscard]] ServiceState* Find(const ServiceName& service);
  [[nodiscard]] ServiceState* Of(const HomeJob& job) {
    return this->Find(job.submission.service);
  }
  // In the order of their names.
  [[nodiscard]] std::map<ServiceName, ServiceState>& all() {
    return this->services;
  }
  [[nodiscard]] const std::map<ServiceName, ServiceState>& all() const {
    return this->services;
  }

  // Queues a task of the job, to be taken before those that are queued already.
  // Does nothing if the job's service is not known.
  void AddTask(HomeJob& job, TaskIndex task);
  // Removes the job's next task from the queue and returns it. `service` is the
  // job's; the job must have queued tasks.
  TaskIndex TakeTask(HomeJob& job, ServiceState& service);
  // Removes all tasks of the job.
  void Remove(HomeJob& job);
  // Moves a queued job to where it belongs after a change of the quarantine of
  // its group. Does nothing for a job that is not queued.
  void Reposition(HomeJob& job);
  // Moves a job of the service behind those that can still be in time.
  void MarkLate(HomeJob& job, ServiceState& service);

 private:
  // Inserts the job, if it has queued tasks, into the queue where it belongs.
  void Enqueue(HomeJob& job, ServiceState& service);

  std::uint64_t placement_seed;
  const AgentRegistry& agents;
  std::map<ServiceName, ServiceState> services;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_QUEUES_H_
