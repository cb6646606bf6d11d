#include "utilities/load/workload.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

PlannedJob MakeJob(std::int64_t arrival_ms, const std::vector<int>& tasks_ms) {
  PlannedJob job;
  job.arrival = std::chrono::milliseconds(arrival_ms);
  for (const int duration : tasks_ms) {
    job.tasks.push_back({std::chrono::milliseconds(duration), {}});
  }
  return job;
}

TEST(WorkloadTest, SameSeedGivesTheSamePlan) {
  WorkloadOptions options;
  options.jobs = 50;
  const std::vector<UpstreamGroup> fleet = {{8, 1}};
  const std::vector<PlannedJob> first = PlanWorkload(options, fleet);
  const std::vector<PlannedJob> second = PlanWorkload(options, fleet);
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].arrival, second[i].arrival);
    EXPECT_EQ(first[i].tasks.size(), second[i].tasks.size());
  }
}

// Guards against plans with tasks that crash upstreams where none was asked
// for.
TEST(WorkloadTest, TheShareOfJobsThatCrashUpstreamsIsAsGiven) {
  WorkloadOptions options;
  options.jobs = 200;
  const std::vector<UpstreamGroup> fleet = {{8, 1}};
  const auto crashing = [](const std::vector<PlannedJob>& plan) {
    std::size_t count = 0;
    for (const PlannedJob& job : plan) {
      for (const PlannedTask& task : job.tasks) count += task.crashes ? 1 : 0;
    }
    return count;
  };
  EXPECT_EQ(crashing(PlanWorkload(options, fleet)), 0U);
  options.crashing_fraction = 1;
  EXPECT_EQ(crashing(PlanWorkload(options, fleet)), 200U);
}

TEST(WorkloadTest, IdleFleetBoundIsTheLargerOfTaskAndCapacityBounds) {
  const std::vector<UpstreamGroup> fleet = {{2, 1}, {2, 2}};
  // The only task's run time on the faster upstream.
  EXPECT_EQ(IdleFleetIdealResponse(MakeJob(0, {900}), fleet),
            std::chrono::milliseconds(900));
  // 9 s of work over a capacity of 2 / 1 + 2 / 2.
  EXPECT_EQ(
      IdleFleetIdealResponse(MakeJob(0, std::vector<int>(30, 300)), fleet),
      std::chrono::milliseconds(3000));
}

TEST(WorkloadTest, LoadedFleetServesTheLeastRemainingWorkFirst) {
  const std::vector<UpstreamGroup> fleet = {{1, 1}};
  const std::vector<PlannedJob> jobs = {MakeJob(0, {1000}),
                                        MakeJob(100, {200})};
  const std::vector<Duration> ideals = LoadedFleetIdealResponses(jobs, fleet);
  EXPECT_EQ(ideals[1], std::chrono::milliseconds(200));
  EXPECT_EQ(ideals[0], std::chrono::milliseconds(1200));
}

}  // namespace
}  // namespace dandelionspur
