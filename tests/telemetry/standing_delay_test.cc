#include "libraries/telemetry/standing_delay.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{50};

struct StandingCase {
  const char* name;
  // The delays of successive intervals of 50 ms, each ended late by its delay.
  std::vector<std::int64_t> delays_ms;
  std::int64_t expected_ms;
};

class StandingDelayTest : public testing::TestWithParam<StandingCase> {};

// Guards against an entry that refuses jobs for a burst that it works off at
// once, and against one that takes jobs in while it stays behind.
TEST_P(StandingDelayTest, ReturnsTheDelayThatLasts) {
  const StandingCase& tested = this->GetParam();
  StandingDelay standing;
  StandingDelay::Time now(std::chrono::seconds(1));
  for (const std::int64_t delay : tested.delays_ms) {
    now += kInterval + milliseconds(delay);
    standing.Note(milliseconds(delay), now);
  }
  const std::chrono::duration<double, std::milli> value = standing.value();
  constexpr double kRoundingMilliseconds = 0.6;
  EXPECT_NEAR(value.count(), static_cast<double>(tested.expected_ms),
              kRoundingMilliseconds);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, StandingDelayTest,
    testing::Values(StandingCase{"KeepsUp", {2, 3, 1, 2, 4, 1}, 1},
                    StandingCase{"OneBurst", {1, 1, 400}, 1},
                    StandingCase{"FirstInterval", {400}, 0},
                    StandingCase{"StaysBehind", {100, 180, 160, 170}, 160},
                    StandingCase{"FarBehind", {900, 1100, 1000}, 1000},
                    // 500 ms after the last delay.
                    StandingCase{"FallsGradually",
                                 {400, 400, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
                                 200}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against an entry that alternates between all and no jobs: the delay
// must not be gone at the first interval that is in time.
TEST(StandingDelayTest, LastsOverSingleIntervalsThatAreInTime) {
  StandingDelay standing;
  StandingDelay::Time now(std::chrono::seconds(1));
  for (int i = 0; i < 20; ++i) {
    const milliseconds delay(i % 5 == 4 ? 1 : 300);
    now += kInterval + delay;
    standing.Note(delay, now);
    if (i > 1) {
      EXPECT_GE(standing.value(), milliseconds(150)) << i;
    }
  }
}

}  // namespace
}  // namespace dandelionspur
