#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_UPSTREAMS_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_UPSTREAMS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_network.h"

namespace dandelionspur {

// A lease of 1 s by a clock that is 2% slow, plus the time that the upstream
// takes to detect its expiry.
constexpr Duration kMaximumLease = std::chrono::milliseconds(1'170);

// The number of slots of an upstream whose capacity has not changed.
inline constexpr std::uint32_t kInitialSlots = 2;

struct RunningTask {
  NodeId agent = 0;
  TaskId task;
  // The time at which the upstream ends the task unless the lease is renewed.
  Timestamp lease_until;
};

// The tasks that run on the upstreams of the simulated agents, with their
// leases.
class SimulatedUpstreams {
 public:
  explicit SimulatedUpstreams(const SimulatedClock& simulated)
      : clock(simulated) {}

  void Run(NodeId agent, const TaskId& task);
  [[nodiscard]] bool IsRunning(const TaskId& task) const;
  [[nodiscard]] bool IsIdle() const { return this->running.empty(); }
  // The task that Finish would end. There must be one.
  [[nodiscard]] const RunningTask& Peek(std::uint32_t choice) const {
    return this->running[choice % this->running.size()];
  }
  // Ends one of the running tasks. There must be one.
  RunningTask Finish(std::uint32_t choice);
  // Ends the tasks whose leases have expired.
  std::vector<RunningTask> Expire();
  // Renews the leases of the agent's tasks.
  void Renew(NodeId agent);
  // Stops the agent's tasks. Their results are lost.
  void Stop(NodeId agent);

  // The agent's upstream crashes, and with it its tasks, which are returned.
  std::vector<TaskId> Crash(NodeId agent);
  void Return(NodeId agent) { this->down.erase(agent); }
  [[nodiscard]] bool IsDown(NodeId agent) const {
    return this->down.contains(agent);
  }
  // The agents whose upstreams have crashed and not returned.
  [[nodiscard]] std::vector<NodeId> Down() const {
    return {this->down.begin(), this->down.end()};
  }
  void SetSlots(NodeId agent, std::uint32_t count) {
    this->slots[agent] = count;
  }
  // The number of tasks that the agent's upstream can run at the same time.
  [[nodiscard]] std::uint32_t SlotsOf(NodeId agent) const;
  [[nodiscard]] bool IsFull(NodeId agent) const;

 private:
  const SimulatedClock& clock;
  std::vector<RunningTask> running;
  std::set<NodeId> down;
  // Only of upstreams whose capacity has changed.
  std::map<NodeId, std::uint32_t> slots;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_UPSTREAMS_H_
