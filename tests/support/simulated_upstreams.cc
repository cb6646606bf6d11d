#include "tests/support/simulated_upstreams.h"

#include <algorithm>

namespace dandelionspur {

void SimulatedUpstreams::Run(NodeId agent, const TaskId& task) {
  this->running.push_back({agent, task, this->clock.Now() + kMaximumLease});
}

bool SimulatedUpstreams::IsRunning(const TaskId& task) const {
  return std::any_of(
      this->running.begin(), this->running.end(),
      [&](const RunningTask& other) { return other.task == task; });
}

RunningTask SimulatedUpstreams::Finish(std::uint32_t choice) {
  const auto position =
      this->running.begin() +
      static_cast<std::ptrdiff_t>(choice % this->running.size());
  const RunningTask task = *position;
  this->running.erase(position);
  return task;
}

std::vector<RunningTask> SimulatedUpstreams::Expire() {
  std::vector<RunningTask> expired;
  std::erase_if(this->running, [&](const RunningTask& task) {
    if (task.lease_until > this->clock.Now()) return false;
    expired.push_back(task);
    return true;
  });
  return expired;
}

void SimulatedUpstreams::Renew(NodeId agent) {
  for (RunningTask& task : this->running) {
    if (task.agent == agent) {
      task.lease_until = this->clock.Now() + kMaximumLease;
    }
  }
}

void SimulatedUpstreams::Stop(NodeId agent) {
  std::erase_if(this->running,
                [&](const RunningTask& task) { return task.agent == agent; });
}

std::vector<TaskId> SimulatedUpstreams::Crash(NodeId agent) {
  this->down.insert(agent);
  std::vector<TaskId> lost;
  std::erase_if(this->running, [&](const RunningTask& task) {
    if (task.agent != agent) return false;
    lost.push_back(task.task);
    return true;
  });
  return lost;
}

std::uint32_t SimulatedUpstreams::SlotsOf(NodeId agent) const {
  const auto found = this->slots.find(agent);
  return found == this->slots.end() ? kInitialSlots : found->second;
}

bool SimulatedUpstreams::IsFull(NodeId agent) const {
  const auto count = std::count_if(
      this->running.begin(), this->running.end(),
      [&](const RunningTask& task) { return task.agent == agent; });
  return static_cast<std::uint32_t>(count) >= this->SlotsOf(agent);
}

}  // namespace dandelionspur
