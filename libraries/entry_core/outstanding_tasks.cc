#include "libraries/entry_core/outstanding_tasks.h"

#include <utility>

namespace dandelionspur {

void OutstandingTasks::Add(HomeJob& job, TaskIndex index, AgentId agent,
                           TaskPhase phase, StartSuspicion suspicion) {
  TaskRecord& task = job.tasks[index.value()];
  task.phase = phase;
  task.agent = agent;
  task.started_as_suspect = suspicion == StartSuspicion::kSuspect;
  ++job.started;
  if (ServiceState* service = this->services.Of(job)) {
    service->TaskStarted(job.submission.client_account);
  }
  if (KnownAgent* known = this->agents.Find(agent)) {
    ++known->running;
    known->groups.NoteStarted(job.submission.group);
    if (task.started_as_suspect) ++known->running_suspects;
  }
  this->tasks[agent].insert({job.submission.key, index});
}

void OutstandingTasks::Remove(HomeJob& job, TaskIndex index) {
  TaskRecord& task = job.tasks[index.value()];
  this->tasks[task.agent].erase({job.submission.key, index});
  if (ServiceState* service = this->services.Of(job)) {
    service->TaskEnded(job.submission.client_account);
  }
  KnownAgent* agent = this->agents.Find(task.agent);
  const bool was_suspect = std::exchange(task.started_as_suspect, false);
  if (agent == nullptr) return;
  if (agent->running > 0) --agent->running;
  agent->groups.NoteEnded(job.submission.group);
  if (was_suspect && agent->running_suspects > 0) --agent->running_suspects;
}

void OutstandingTasks::RemoveAllOf(HomeJob& job) {
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].IsOutstanding()) this->Remove(job, TaskIndex(i));
  }
}

std::vector<TaskId> OutstandingTasks::StartedAt(AgentId agent) const {
  const auto found = this->tasks.find(agent);
  if (found == this->tasks.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::size_t OutstandingTasks::CountAt(AgentId agent) const {
  const auto found = this->tasks.find(agent);
  return found == this->tasks.end() ? 0 : found->second.size();
}

void OutstandingTasks::RemoveIdleAgents() {
  std::erase_if(this->tasks,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace dandelionspur
