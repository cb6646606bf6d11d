#include "tests/support/simulated_workload.h"

#include <chrono>
#include <string>

namespace dandelionspur {
namespace {

constexpr Duration kTimeAllowed = std::chrono::seconds(4);
constexpr Duration kExpectedTaskTime = std::chrono::milliseconds(100);
// Shortly before the simulation starts.
constexpr Timestamp kCreation(std::chrono::seconds(999'999));

}  // namespace

const ServiceName kSimulatedService{"s"};

JobKey KeyOf(std::uint32_t number) {
  return JobKey::FromText(kSimulatedService, "key-" + std::to_string(number));
}

JobSubmission JobOf(std::uint32_t number, const SimulationOptions& options) {
  JobSubmission job;
  job.key = KeyOf(number);
  job.service = kSimulatedService;
  job.client_account = ClientAccount("t");
  job.time_allowed = kTimeAllowed;
  job.body_digest = number;
  job.rerun = options.rerun;
  job.maximum_attempts = options.HasLeases() ? 3 : 1;
  // Half of the keys carry their time of creation.
  if (number % 2 == 0) job.created = kCreation;
  for (std::uint32_t i = 0; i < options.tasks_per_job; ++i) {
    job.tasks.push_back(
        {BodyOf({job.key, TaskIndex(i)}), kExpectedTaskTime, kOneSlot});
  }
  return job;
}

Payload BodyOf(const TaskId& id) {
  return Payload::FromBytes("body " + id.key.ToHex() +
                            std::to_string(id.task.value()));
}

Payload ResultOf(const TaskId& id) {
  return Payload::FromBytes(id.key.ToHex() + "/" +
                            std::to_string(id.task.value()));
}

}  // namespace dandelionspur
