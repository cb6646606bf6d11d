#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_UPSTREAMS_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_UPSTREAMS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_network.h"

namespace dandelionspur {

// A lease of 1 s by a clock that is 2% slow, plus the time that the upstream
// takes to detect its expiry.
constexpr Duration kMaximumLease = std::chrono::milliseconds(1'170);

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
  // Ends one of the running tasks. There must be one.
  RunningTask Finish(std::uint32_t choice);
  // Ends the tasks whose leases have expired.
  std::vector<RunningTask> Expire();
  // Renews the leases of the agent's tasks.
  void Renew(NodeId agent);
  // Stops the agent's tasks. Their results are lost.
  void Stop(NodeId agent);

 private:
  const SimulatedClock& clock;
  std::vector<RunningTask> running;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_UPSTREAMS_H_
