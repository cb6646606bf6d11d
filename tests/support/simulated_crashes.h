#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CRASHES_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CRASHES_H_

#include <cstdint>

#include "tests/support/simulated_processes.h"

namespace dandelionspur {

// Crashes of upstreams under the tasks that cause them, and changes of the
// capacity of upstreams.
class SimulatedCrashes {
 public:
  SimulatedCrashes(const SimulationOptions& configured,
                   SimulatedUpstreams& simulated_upstreams,
                   SimulatedProcesses& simulated_processes,
                   SimulationOracle& observer)
      : options(configured),
        upstreams(simulated_upstreams),
        processes(simulated_processes),
        oracle(observer) {}

  // Whether the task crashes the upstream that runs it.
  [[nodiscard]] bool IsDeadly(const TaskId& task) const;
  // The upstream of the agent is lost, and its lease has run out.
  void Crash(NodeId agent);
  // One of the crashed upstreams comes back, if there is any.
  void ReturnOne(std::uint32_t choice);
  void ReturnAll();
  void ChangeCapacity(std::uint32_t choice);

 private:
  const SimulationOptions& options;
  SimulatedUpstreams& upstreams;
  SimulatedProcesses& processes;
  SimulationOracle& oracle;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CRASHES_H_
