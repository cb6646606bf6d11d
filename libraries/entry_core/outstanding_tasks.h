#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OUTSTANDING_TASKS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OUTSTANDING_TASKS_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/service_queues.h"

namespace dandelionspur {

// Whether a task is suspected of the loss of an upstream when it is started.
enum class StartSuspicion { kNone, kSuspect };

// The tasks of a home that were started at agents and have not completed. Keeps
// the counts of running tasks of the agents and of the client accounts
// consistent with them.
class OutstandingTasks {
 public:
  OutstandingTasks(AgentRegistry& registry, ServiceQueues& queues)
      : agents(registry), services(queues) {}

  // Records the start of a task at the agent. `phase` is kStarted or kQuerying.
  void Add(HomeJob& job, TaskIndex index, AgentId agent, TaskPhase phase,
           StartSuspicion suspicion);
  // Removes a started task. The caller sets the new phase.
  void Remove(HomeJob& job, TaskIndex index);
  // Removes all started tasks of the job.
  void RemoveAllOf(HomeJob& job);

  // The tasks started at the agent, in ascending order. A copy, so that the
  // caller may remove them.
  [[nodiscard]] std::vector<TaskId> StartedAt(AgentId agent) const;
  [[nodiscard]] std::size_t CountAt(AgentId agent) const;
  // Agents may be among them that have no task any more.
  [[nodiscard]] const std::map<AgentId, std::set<TaskId>>& by_agent() const {
    return this->tasks;
  }
  // Removes the agents without tasks from by_agent().
  void RemoveIdleAgents();

 private:
  AgentRegistry& agents;
  ServiceQueues& services;
  std::map<AgentId, std::set<TaskId>> tasks;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OUTSTANDING_TASKS_H_
