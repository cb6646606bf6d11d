#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_WORKLOAD_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_WORKLOAD_H_

#include <cstdint>

#include "libraries/entry_core/entry_core.h"
#include "tests/support/simulation_options.h"

namespace dandelionspur {

// The service of all simulated jobs.
extern const ServiceName kSimulatedService;

// The key with the given number, from 0 in the order of the first submissions.
JobKey KeyOf(std::uint32_t number);
// The job that each caller submits with the key of the given number.
JobSubmission JobOf(std::uint32_t number, const SimulationOptions& options);
// The body of a task.
Payload BodyOf(const TaskId& id);
// The result that the upstream returns for a task.
Payload ResultOf(const TaskId& id);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_WORKLOAD_H_
