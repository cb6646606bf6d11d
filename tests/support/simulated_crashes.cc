#include "tests/support/simulated_crashes.h"

#include <vector>

namespace dandelionspur {

bool SimulatedCrashes::IsDeadly(const TaskId& task) const {
  constexpr std::uint64_t kDeadlyJobEvery = 3;
  return this->options.fault_mix == FaultMix::kCrashingUpstreams &&
         task.task == TaskIndex(0) && task.key.low % kDeadlyJobEvery == 0;
}

void SimulatedCrashes::Crash(NodeId agent) {
  const std::vector<TaskId> lost = this->upstreams.Crash(agent);
  this->oracle.RecordUpstreamLoss(agent, lost);
  this->processes.HandleAgent(agent,
                              UpstreamContactChanged{UpstreamContact::kSilent});
  if (this->options.fault != DeliberateFault::kForgetLosses) {
    this->processes.HandleAgent(agent, UpstreamLost{"", LossEvidence::kSilent});
  }
  for (const TaskId& task : lost) {
    this->processes.HandleAgent(
        agent, UpstreamTaskCompleted{task, UpstreamResult::kBroken, Payload(),
                                     Duration()});
  }
}

void SimulatedCrashes::ReturnOne(std::uint32_t choice) {
  const std::vector<NodeId> down = this->upstreams.Down();
  if (down.empty()) return;
  const NodeId agent = down[choice % down.size()];
  this->upstreams.Return(agent);
  this->processes.AnnounceUpstream(agent);
}

void SimulatedCrashes::ReturnAll() {
  while (!this->upstreams.Down().empty()) this->ReturnOne(0);
}

void SimulatedCrashes::ChangeCapacity(std::uint32_t choice) {
  constexpr std::uint32_t kMostSlots = 3;
  const std::vector<NodeId> agents = this->processes.AliveAgents();
  if (agents.empty()) return;
  const NodeId agent = agents[choice % agents.size()];
  const std::uint32_t former = this->upstreams.SlotsOf(agent);
  const std::uint32_t slots = 1 + (choice / 8) % kMostSlots;
  this->upstreams.SetSlots(agent, slots);
  if (this->upstreams.IsDown(agent)) return;
  const bool hides =
      slots < former &&
      this->options.fault == DeliberateFault::kIgnoreShrunkCapacity;
  if (!hides) this->processes.AnnounceUpstream(agent);
}

}  // namespace dandelionspur
