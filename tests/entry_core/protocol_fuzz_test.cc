#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "tests/support/simulated_cluster.h"

namespace dandelionspur {
namespace {

constexpr std::size_t kStepsPerRun = 260;

std::vector<std::uint32_t> ArbitraryChoices() {
  return *rc::gen::container<std::vector<std::uint32_t>>(
      kStepsPerRun,
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

// Runs one step for each choice, then runs to completion. Returns the
// violation, or an empty string if there was none.
std::string RunSteps(SimulatedCluster& cluster,
                     const std::vector<std::uint32_t>& choices) {
  for (const std::uint32_t choice : choices) cluster.Step(choice);
  cluster.RunToCompletion();
  return cluster.violation().value_or("");
}

struct ClusterCase {
  std::string name;
  std::uint32_t entries;
  std::uint32_t agents;
  RerunPolicy rerun = RerunPolicy::kNever;
  FaultMix fault_mix = FaultMix::kGeneral;
};

class ProtocolFuzz : public testing::TestWithParam<ClusterCase> {};

// RC_PARAMS holds the seed and the number of runs; tests/CMakeLists.txt sets
// both to fixed values for CI.
TEST_P(ProtocolFuzz, UpholdsEveryGuarantee) {
  SimulationOptions options;
  options.entries = this->GetParam().entries;
  options.agents = this->GetParam().agents;
  options.rerun = this->GetParam().rerun;
  options.fault_mix = this->GetParam().fault_mix;
  std::uint64_t starts = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::uint64_t complete_answers = 0;
  const bool passed = rc::check(this->GetParam().name, [&] {
    options.intensity = *rc::gen::inRange(1U, 5U);
    SimulatedCluster cluster(options);
    const std::string first_violation = RunSteps(cluster, ArbitraryChoices());
    if (!first_violation.empty()) RC_LOG() << cluster.Log();
    starts += cluster.starts();
    answers += cluster.answers();
    refusals += cluster.refusals();
    complete_answers += cluster.complete_answers();
    RC_ASSERT(first_violation.empty());
    RC_ASSERT(cluster.ReplaysEqually());
  });
  EXPECT_TRUE(passed);
  std::cout << starts << " starts, " << answers << " answers, "
            << complete_answers << " complete, " << refusals << " refusals\n";
  EXPECT_GT(complete_answers, 0U);
  EXPECT_GT(refusals, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    ClusterSizes, ProtocolFuzz,
    testing::Values(ClusterCase{"ThreeEntries", 3, 2},
                    ClusterCase{"FourEntries", 4, 3},
                    ClusterCase{"TwoEntries", 2, 2},
                    ClusterCase{"Leases", 3, 3, RerunPolicy::kAfterLease},
                    ClusterCase{"PartialCuts", 3, 3, RerunPolicy::kAfterLease,
                                FaultMix::kPartialCuts},
                    // Guards against taking a refused connection as proof that
                    // a process has ended.
                    ClusterCase{"RefusingCuts", 3, 3, RerunPolicy::kAfterLease,
                                FaultMix::kRefusingCuts},
                    ClusterCase{"RefusingCutsAtMostOnce", 3, 3,
                                RerunPolicy::kNever, FaultMix::kRefusingCuts},
                    // Guards against two homes side by side after a restart of
                    // all entries but one, which can't read the table.
                    ClusterCase{"TableCuts", 3, 3, RerunPolicy::kAfterLease,
                                FaultMix::kTableCuts},
                    // Guards against two sides of a partition that both act.
                    ClusterCase{"Partitions", 3, 3, RerunPolicy::kAfterLease,
                                FaultMix::kPartitions},
                    // Guards against two runs of a task where a start is
                    // carried out late while its agent, and perhaps its home,
                    // is lost, frozen or cut off.
                    ClusterCase{"LateOrders", 3, 3, RerunPolicy::kAfterLease,
                                FaultMix::kLateOrders},
                    ClusterCase{"CrashingUpstreams", 3, 3,
                                RerunPolicy::kAfterLease,
                                FaultMix::kCrashingUpstreams}),
    [](const auto& tested) { return tested.param.name; });

// A seed with which protocol_fuzz once found a violation.
struct PastFailure {
  std::uint64_t seed;
  RerunPolicy rerun;
  std::uint32_t agents;
};

class PastFailureTest : public testing::TestWithParam<PastFailure> {};

TEST_P(PastFailureTest, UpholdsEveryGuarantee) {
  const PastFailure& tested = this->GetParam();
  constexpr std::uint32_t kIntensities = 4;
  SimulationOptions options;
  options.agents = tested.agents;
  options.rerun = tested.rerun;
  options.intensity = 1 + tested.seed % kIntensities;
  SimulatedCluster cluster(options);
  std::mt19937_64 random(tested.seed);
  std::vector<std::uint32_t> choices(kStepsPerRun);
  for (std::uint32_t& choice : choices) {
    choice = static_cast<std::uint32_t>(random());
  }
  EXPECT_EQ(RunSteps(cluster, choices), "") << cluster.Log();
}

std::string SeedName(const testing::TestParamInfo<PastFailure>& tested) {
  return "Seed" + std::to_string(tested.param.seed);
}

INSTANTIATE_TEST_SUITE_P(Leases, PastFailureTest,
                         testing::Values(
                             // A job was submitted again after its agent had
                             // been lost, before the lease had expired.
                             PastFailure{60, RerunPolicy::kAfterLease, 3},
                             // The completion of an earlier start arrived a
                             // second time, after the next start.
                             PastFailure{100577, RerunPolicy::kAfterLease, 3},
                             // A start sent before a freeze was read after
                             // contact had been restored.
                             PastFailure{500085, RerunPolicy::kAfterLease, 3},
                             PastFailure{101168, RerunPolicy::kAfterLease, 3}),
                         SeedName);

INSTANTIATE_TEST_SUITE_P(
    AtMostOnce, PastFailureTest,
    testing::Values(
        // The former home was lost after it had been left alone in the view,
        // so that only it knew a key, but was exempt from promising.
        PastFailure{4040811411, RerunPolicy::kNever, 2},
        // The refusal of a start arrived twice, the second time after the task
        // had been started again on the same agent.
        PastFailure{12553, RerunPolicy::kNever, 2}),
    SeedName);

}  // namespace
}  // namespace dandelionspur
