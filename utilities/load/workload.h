#ifndef DANDELIONSPUR_UTILITIES_LOAD_WORKLOAD_H_
#define DANDELIONSPUR_UTILITIES_LOAD_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// A group of upstreams of one speed. They run `slots` tasks at once, and a
// task's duration is multiplied by `slowness`.
struct UpstreamGroup {
  double slots = 0;
  double slowness = 1;
};

// Parses a comma-separated list of SLOTSxSLOWNESS, such as "8x1,8x2.5". Fails
// if a number is missing or not above 0.
Result<std::vector<UpstreamGroup>> ParseFleet(const std::string& text);
// Seconds of task duration, at slowness 1, that the fleet completes per second.
double FleetCapacity(const std::vector<UpstreamGroup>& fleet);

struct PlannedTask {
  // Run time on an upstream of slowness 1.
  Duration duration{};
  // Run time that the caller declares.
  Duration declared{};
  // Whether the task crashes its upstream at the end of its run time.
  bool crashes = false;
};

struct PlannedJob {
  // Submission time, relative to the start of the run.
  Duration arrival{};
  std::string key;
  std::vector<PlannedTask> tasks;
  // Whether the job is submitted a second time at once, through another entry.
  bool resubmitted = false;
};

struct WorkloadOptions {
  std::size_t jobs = 0;
  // Mean offered load as a fraction of the fleet's capacity.
  double utilization = 0.5;
  std::uint64_t seed = 1;
  // Prefix of every idempotency key. A different prefix lets the same plan run
  // again on the same cluster.
  std::string key_prefix = "load";
  // Fraction of the jobs that are submitted twice.
  double resubmitted_fraction = 0;
  // Largest factor by which a declared time is too long or too short.
  double declared_error = 1;
  // Largest number of tasks in a job.
  std::size_t largest_job = 100;
  // Fraction of the jobs whose first task crashes its upstream.
  double crashing_fraction = 0;
  // Number of jobs in a burst; 1 plans no bursts.
  std::size_t burst = 1;
};

// Generates jobs in order of arrival. Arrivals are a Poisson process with
// bursts; tasks last 50 ms to 1 s, and 0.5 % of them 2 s to 5 s.
std::vector<PlannedJob> PlanWorkload(const WorkloadOptions& options,
                                     const std::vector<UpstreamGroup>& fleet);

// A lower bound on the response time of a job on an idle fleet: the larger of
// its longest task's run time on the fastest upstream and its total work
// divided by the fleet's capacity.
Duration IdleFleetIdealResponse(const PlannedJob& job,
                                const std::vector<UpstreamGroup>& fleet);
// The response times of all jobs under shortest-remaining-work-first scheduling
// on a fluid server of the fleet's capacity, each at least the job's bound on
// an idle fleet. docs/measurement.md explains what these times bound.
std::vector<Duration> LoadedFleetIdealResponses(
    const std::vector<PlannedJob>& jobs,
    const std::vector<UpstreamGroup>& fleet);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_LOAD_WORKLOAD_H_
