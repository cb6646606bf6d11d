#ifndef DANDELIONSPUR_UTILITIES_LOAD_WORKLOAD_H_
#define DANDELIONSPUR_UTILITIES_LOAD_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Upstreams of one speed: `slots` tasks at once, each taking its time
// multiplied by `slowness`.
struct FleetPart {
  double slots = 0;
  double slowness = 1;
};

// Parses "8x1,8x2.5": slots x slowness, separated by commas.
Result<std::vector<FleetPart>> ParseFleet(const std::string& text);
// Seconds of task time (at slowness 1) that the fleet does in a second.
double FleetCapacity(const std::vector<FleetPart>& fleet);

struct PlannedTask {
  // Time on an upstream of slowness 1.
  Duration duration{};
  Duration declared{};
};

struct PlannedJob {
  // Since the start of the run.
  Duration arrival{};
  std::string key;
  std::vector<PlannedTask> tasks;
  // Submitted a second time, through another entry, while it runs.
  bool resubmitted = false;
};

struct WorkloadOptions {
  std::size_t jobs = 0;
  // Part of the fleet's capacity that the arrivals use on average.
  double utilization = 0.5;
  std::uint64_t seed = 1;
  // Begins every key, so that the same plan can run twice on one cluster.
  std::string key_prefix = "load";
  double resubmitted_part = 0;
  // Declared times are off by up to this factor, either way.
  double declared_error = 1;
  std::size_t largest_job = 100;
  // Jobs that arrive together now and then.
  std::size_t burst = 1;
};

// Jobs in order of arrival: Poisson arrivals with bursts, tasks of 50 ms to
// 1 s and a few of several seconds.
std::vector<PlannedJob> PlanWorkload(const WorkloadOptions& options,
                                     const std::vector<FleetPart>& fleet);

// The least response time of each job if it had the fleet to itself: its
// longest task on the fastest upstream, or its work spread over all slots.
Duration EmptyFleetIdeal(const PlannedJob& job,
                         const std::vector<FleetPart>& fleet);
// The least response times under this load, for a fluid server of the
// fleet's capacity that always works on the job with the least work left; no
// less than the empty-fleet ideal. docs/measurement.md says what this bounds.
std::vector<Duration> LoadedFleetIdeals(const std::vector<PlannedJob>& jobs,
                                        const std::vector<FleetPart>& fleet);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_LOAD_WORKLOAD_H_
