#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "tests/support/protocol_world.h"

namespace dandelionspur {
namespace {

constexpr std::size_t kStepsPerRun = 260;

std::vector<std::uint32_t> AnyScript() {
  return *rc::gen::container<std::vector<std::uint32_t>>(
      kStepsPerRun,
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

// Runs a script; returns what broke.
std::string RunScript(ProtocolWorld& world,
                      const std::vector<std::uint32_t>& script) {
  for (const std::uint32_t choice : script) world.Step(choice);
  world.Settle();
  return world.violation().value_or("");
}

struct WorldCase {
  std::string name;
  std::uint32_t entries;
  std::uint32_t agents;
  RerunPolicy rerun = RerunPolicy::kNever;
};

class ProtocolFuzz : public testing::TestWithParam<WorldCase> {};

// Seed and count come from RC_PARAMS; tests/CMakeLists.txt fixes them for CI.
TEST_P(ProtocolFuzz, KeepsEveryPromise) {
  WorldOptions options;
  options.entries = this->GetParam().entries;
  options.agents = this->GetParam().agents;
  options.rerun = this->GetParam().rerun;
  std::uint64_t starts = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::uint64_t completes = 0;
  const bool holds = rc::check(this->GetParam().name, [&] {
    options.intensity = *rc::gen::inRange(1U, 5U);
    ProtocolWorld world(options);
    const std::string broken = RunScript(world, AnyScript());
    if (!broken.empty()) RC_LOG() << world.Log();
    starts += world.starts();
    answers += world.answers();
    refusals += world.refusals();
    completes += world.completes();
    RC_ASSERT(broken.empty());
    RC_ASSERT(world.ReplaysEqually());
  });
  EXPECT_TRUE(holds);
  std::cout << starts << " starts, " << answers << " answers, " << completes
            << " complete, " << refusals << " refusals\n";
  EXPECT_GT(completes, 0U);
  EXPECT_GT(refusals, 0U);
}

INSTANTIATE_TEST_SUITE_P(Worlds, ProtocolFuzz,
                         testing::Values(WorldCase{"ThreeEntries", 3, 2},
                                         WorldCase{"FourEntries", 4, 3},
                                         WorldCase{"TwoEntries", 2, 2},
                                         WorldCase{"Leases", 3, 3,
                                                   RerunPolicy::kAfterLease}),
                         [](const auto& tested) { return tested.param.name; });

// A seed of protocol_fuzz that has broken a promise.
struct PastFailure {
  std::uint64_t seed;
  RerunPolicy rerun;
  std::uint32_t agents;
};

class PastFailureTest : public testing::TestWithParam<PastFailure> {};

TEST_P(PastFailureTest, IsMended) {
  const PastFailure& tested = this->GetParam();
  constexpr std::uint32_t kIntensities = 4;
  WorldOptions options;
  options.agents = tested.agents;
  options.rerun = tested.rerun;
  options.intensity = 1 + tested.seed % kIntensities;
  ProtocolWorld world(options);
  std::mt19937_64 random(tested.seed);
  std::vector<std::uint32_t> script(kStepsPerRun);
  for (std::uint32_t& choice : script) {
    choice = static_cast<std::uint32_t>(random());
  }
  EXPECT_EQ(RunScript(world, script), "") << world.Log();
}

std::string SeedName(const testing::TestParamInfo<PastFailure>& tested) {
  return "Seed" + std::to_string(tested.param.seed);
}

INSTANTIATE_TEST_SUITE_P(
    Leases, PastFailureTest,
    testing::Values(
        // Submitted again after its agent was lost, before the lease was over.
        PastFailure{60, RerunPolicy::kAfterLease, 3},
        // The end of an earlier start came once more, after the next start.
        PastFailure{100577, RerunPolicy::kAfterLease, 3},
        // A start from before a freeze, read after contact was regained.
        PastFailure{500085, RerunPolicy::kAfterLease, 3},
        PastFailure{101168, RerunPolicy::kAfterLease, 3}),
    SeedName);

INSTANTIATE_TEST_SUITE_P(
    AtMostOnce, PastFailureTest,
    testing::Values(
        // A refused start was told of twice, the second time after the task had
        // been started at the same agent once more.
        PastFailure{12553, RerunPolicy::kNever, 2}),
    SeedName);

}  // namespace
}  // namespace dandelionspur
