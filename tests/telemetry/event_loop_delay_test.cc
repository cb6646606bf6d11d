#include "libraries/telemetry/event_loop_delay.h"

#include <gtest/gtest.h>

#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

struct DelayCase {
  const char* name;
  std::vector<std::int64_t> waits_ms;
  std::int64_t lateness_ms;
  std::int64_t delay_ms;
};

class EventLoopDelayTest : public testing::TestWithParam<DelayCase> {};

// Guards against an overload that goes unnoticed because only one of its two
// symptoms, long waits and late timers, occurs.
TEST_P(EventLoopDelayTest, ReturnsTheLongerOfMeanWaitAndLateness) {
  const DelayCase& tested = this->GetParam();
  EventLoopDelay delay;
  for (const std::int64_t wait : tested.waits_ms) {
    delay.RecordWait(milliseconds(wait));
  }
  EXPECT_EQ(delay.EndInterval(milliseconds(tested.lateness_ms)),
            milliseconds(tested.delay_ms));
  EXPECT_EQ(delay.EndInterval(Duration()), Duration());
}

INSTANTIATE_TEST_SUITE_P(
    Delays, EventLoopDelayTest,
    testing::Values(DelayCase{"IdleProcess", {}, 0, 0},
                    DelayCase{"LongQueueInTheProcess", {80, 120}, 10, 100},
                    DelayCase{"StarvedWithAShortQueue", {1, 3}, 90, 90},
                    DelayCase{"StarvedWithoutEvents", {}, 300, 300}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a log line in each interval while the delay fluctuates.
TEST(LagDetectorTest, ReportsEachChangeOnceAndTheLongestDelayAtTheEnd) {
  LagDetector detector;
  EXPECT_FALSE(detector.Observe(milliseconds(99)));
  const std::optional<LagChange> fell_behind =
      detector.Observe(milliseconds(100));
  ASSERT_TRUE(fell_behind);
  EXPECT_EQ(fell_behind->state, LagState::kLagging);
  EXPECT_EQ(fell_behind->delay, milliseconds(100));
  EXPECT_FALSE(detector.Observe(milliseconds(400)));
  EXPECT_FALSE(detector.Observe(milliseconds(26)));
  const std::optional<LagChange> caught_up = detector.Observe(milliseconds(25));
  ASSERT_TRUE(caught_up);
  EXPECT_EQ(caught_up->state, LagState::kKeepingUp);
  EXPECT_EQ(caught_up->longest, milliseconds(400));
  EXPECT_FALSE(detector.Observe(milliseconds(50)));
}

}  // namespace
}  // namespace dandelionspur
