#include "libraries/entry_core/placement/expected_end.h"

#include <gtest/gtest.h>

#include <string>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kCore = 1000;
constexpr UpstreamOutlook kHalfFull{16 * kCore, 8 * kCore, milliseconds(50),
                                    1.0, 0};
constexpr TaskOutlook kShort{2 * kCore, milliseconds(50), milliseconds(150)};
constexpr TaskOutlook kLong{2 * kCore, milliseconds(900), milliseconds(150)};

UpstreamOutlook With(std::uint64_t taken_cores, Duration age, double slowness,
                     double failures = 0) {
  UpstreamOutlook upstream = kHalfFull;
  upstream.taken_millicores = taken_cores * kCore;
  upstream.report_age = age;
  upstream.slowness = slowness;
  upstream.failure_share = failures;
  return upstream;
}

// Which of two upstreams a task should go to.
struct ChoiceCase {
  const char* pattern;
  TaskOutlook task;
  UpstreamOutlook better;
  UpstreamOutlook worse;
};

class ExpectedEndTest : public testing::TestWithParam<ChoiceCase> {};

TEST_P(ExpectedEndTest, PrefersTheUpstreamWhereTheTaskEndsFirst) {
  const ChoiceCase& tested = this->GetParam();
  EXPECT_LT(ExpectedEnd(tested.task, tested.better),
            ExpectedEnd(tested.task, tested.worse));
}

INSTANTIATE_TEST_SUITE_P(
    LoadPatterns, ExpectedEndTest,
    testing::Values(
        ChoiceCase{"FastUpstreamsWithoutLoad", kShort,
                   With(4, milliseconds(20), 0.8),
                   With(4, milliseconds(20), 1.25)},
        // A burst has filled the fast upstreams.
        ChoiceCase{"ShortTaskAvoidsAFullFastUpstream", kShort,
                   With(6, milliseconds(50), 1.0),
                   With(32, milliseconds(50), 0.8)},
        ChoiceCase{"LongTaskWaitsForAFastUpstream", kLong,
                   With(18, milliseconds(50), 0.8),
                   With(8, milliseconds(50), 1.25)},
        // All entries have seen the same last free slot.
        ChoiceCase{"OldReportOfTheLastFreeSlot", kShort,
                   With(14, milliseconds(5), 1.0),
                   With(14, milliseconds(300), 1.0)},
        ChoiceCase{"UpstreamThatTurnedSlow", kShort,
                   With(14, milliseconds(50), 1.0),
                   With(2, milliseconds(50), 6.0)},
        // Failed tasks end soon, which makes the upstream look free and fast.
        ChoiceCase{"UpstreamThatFailsItsTasks", kShort,
                   With(12, milliseconds(50), 1.0),
                   With(0, milliseconds(50), 0.7, 0.5)}),
    [](const auto& tested) { return std::string(tested.param.pattern); });

TEST(ExpectedStartTest, AnUpstreamWithoutCapacityNeverStartsATask) {
  UpstreamOutlook none = kHalfFull;
  none.capacity_millicores = 0;
  EXPECT_EQ(ExpectedEnd(kShort, none), Duration::max());
}

TEST(ExpectedStartTest, ACertainFreeSlotMeansNoWait) {
  EXPECT_EQ(ExpectedStart(kShort, With(8, Duration(), 1.0)), Duration());
}

}  // namespace
}  // namespace dandelionspur
