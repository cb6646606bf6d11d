#include "services/entry/shutdown_schedule.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

struct ScheduleCase {
  const char* name;
  std::int64_t stop_within_ms;
  // When the schedule is asked, since the begin of the shutdown.
  std::int64_t asked_ms;
  std::vector<ShutdownStep> due;
};

class ShutdownScheduleTest : public testing::TestWithParam<ScheduleCase> {};

// Guards against steps of a shutdown that are lost or change their order when a
// process that lacks processor time takes them late.
TEST_P(ShutdownScheduleTest, TakesAllStepsThatAreDueInOrder) {
  const ScheduleCase& tested = this->GetParam();
  const ShutdownSchedule::Time begin(std::chrono::seconds(50));
  ShutdownSchedule schedule(begin, milliseconds(3100),
                            milliseconds(tested.stop_within_ms));
  const ShutdownSchedule::Time now = begin + milliseconds(tested.asked_ms);
  std::vector<ShutdownStep> taken;
  while (const auto step = schedule.TakeDue(now)) taken.push_back(*step);
  EXPECT_EQ(taken, tested.due);
  EXPECT_EQ(schedule.NextDue().has_value(), tested.due.size() < 4);
  if (schedule.NextDue()) {
    EXPECT_GT(*schedule.NextDue(), now);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Times, ShutdownScheduleTest,
    testing::Values(
        ScheduleCase{"Early", 6000, 3099, {}},
        ScheduleCase{"CallersClose", 6000, 3100, {ShutdownStep::kCloseCallers}},
        ScheduleCase{
            "AnswersAreDue",
            6000,
            5000,
            {ShutdownStep::kCloseCallers, ShutdownStep::kAnswerCallers}},
        ScheduleCase{"Exit",
                     6000,
                     5300,
                     {ShutdownStep::kCloseCallers, ShutdownStep::kAnswerCallers,
                      ShutdownStep::kExit}},
        ScheduleCase{"VeryLate",
                     6000,
                     5600,
                     {ShutdownStep::kCloseCallers, ShutdownStep::kAnswerCallers,
                      ShutdownStep::kExit, ShutdownStep::kExitUnanswered}},
        ScheduleCase{"LittleTimeToStop", 3500, 3099, {}}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a request that is taken in and cut when the answers are due.
TEST(ShutdownScheduleTest, RefusesWhatWouldOutlastTheAnswers) {
  const ShutdownSchedule::Time begin(std::chrono::seconds(50));
  const ShutdownSchedule schedule(begin, milliseconds(3100),
                                  milliseconds(6000));
  const ShutdownSchedule::Time now = begin + milliseconds(3000);
  EXPECT_TRUE(schedule.CanAnswerWithin(milliseconds(1999), now));
  EXPECT_FALSE(schedule.CanAnswerWithin(milliseconds(2000), now));
}

}  // namespace
}  // namespace dandelionspur
