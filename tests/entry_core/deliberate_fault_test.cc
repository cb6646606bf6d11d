#include <gtest/gtest.h>

#include <random>

#include "tests/support/protocol_world.h"

namespace dandelionspur {
namespace {

// The checker is checked: each fault put into the protocol on purpose must
// break a promise, with a fixed seed.
struct FaultCase {
  const char* name;
  DeliberateFault fault;
  std::uint64_t seed;
};

class DeliberateFaultTest : public testing::TestWithParam<FaultCase> {};

std::optional<std::string> ViolationOf(DeliberateFault fault,
                                       std::uint64_t seed) {
  constexpr std::size_t kSteps = 260;
  constexpr std::uint32_t kIntensities = 4;
  WorldOptions options;
  options.fault = fault;
  options.intensity = 1 + seed % kIntensities;
  ProtocolWorld world(options);
  std::mt19937_64 random(seed);
  for (std::size_t i = 0; i < kSteps; ++i) {
    world.Step(static_cast<std::uint32_t>(random()));
  }
  world.Settle();
  return world.violation();
}

TEST_P(DeliberateFaultTest, IsCaughtAndOnlyTheFault) {
  const FaultCase& tested = this->GetParam();
  EXPECT_TRUE(ViolationOf(tested.fault, tested.seed));
  EXPECT_FALSE(ViolationOf(DeliberateFault::kNone, tested.seed));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, DeliberateFaultTest,
    testing::Values(
        FaultCase{"SkipBallotCheck", DeliberateFault::kSkipBallotCheck, 1065},
        FaultCase{"SkipWitness", DeliberateFault::kSkipWitness, 366},
        FaultCase{"ForgetStartedSet", DeliberateFault::kForgetStartedSet, 2},
        FaultCase{"ForgetWitnessedKeys", DeliberateFault::kForgetWitnessedKeys,
                  5},
        FaultCase{"RerunAfterBrokenConnection",
                  DeliberateFault::kRerunAfterBrokenConnection, 19},
        FaultCase{"RefuseUnconfirmed", DeliberateFault::kRefuseUnconfirmed,
                  1444},
        FaultCase{"ReuseAgentIncarnation",
                  DeliberateFault::kReuseAgentIncarnation, 2},
        FaultCase{"ReuseEntryIncarnation",
                  DeliberateFault::kReuseEntryIncarnation, 3},
        FaultCase{"CrossAnswers", DeliberateFault::kCrossAnswers, 1},
        FaultCase{"LowerVersion", DeliberateFault::kLowerVersion, 1},
        FaultCase{"IgnoreLeaving", DeliberateFault::kIgnoreLeaving, 29}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
