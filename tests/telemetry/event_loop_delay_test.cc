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

class WorkDelayTest : public testing::TestWithParam<DelayCase> {};

// Guards against an overload that nobody sees because only one of its two
// signs shows.
TEST_P(WorkDelayTest, TakesTheSignThatShowsMore) {
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
    Signs, WorkDelayTest,
    testing::Values(DelayCase{"IdleProcess", {}, 0, 0},
                    DelayCase{"LongQueueInTheProcess", {80, 120}, 10, 100},
                    DelayCase{"StarvedWithAShortQueue", {1, 3}, 90, 90},
                    DelayCase{"StarvedWithoutEvents", {}, 300, 300}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a log line at each interval while the delay wavers.
TEST(PaceWatchTest, TellsEachChangeOnceAndTheLongestDelayAtItsEnd) {
  LagDetector watch;
  EXPECT_FALSE(watch.Observe(milliseconds(99)));
  const std::optional<LagChange> behind = watch.Observe(milliseconds(100));
  ASSERT_TRUE(behind);
  EXPECT_EQ(behind->state, LagState::kLagging);
  EXPECT_EQ(behind->delay, milliseconds(100));
  EXPECT_FALSE(watch.Observe(milliseconds(400)));
  EXPECT_FALSE(watch.Observe(milliseconds(26)));
  const std::optional<LagChange> caught_up = watch.Observe(milliseconds(25));
  ASSERT_TRUE(caught_up);
  EXPECT_EQ(caught_up->state, LagState::kKeepingUp);
  EXPECT_EQ(caught_up->longest, milliseconds(400));
  EXPECT_FALSE(watch.Observe(milliseconds(50)));
}

}  // namespace
}  // namespace dandelionspur
