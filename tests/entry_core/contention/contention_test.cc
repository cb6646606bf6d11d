#include <gtest/gtest.h>

#include <string>

#include "libraries/entry_core/contention/peer_backlogs.h"
#include "libraries/entry_core/contention/urgent_reserve.h"
#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("s");
const Timestamp kStart(std::chrono::seconds(10));
const Resources kNeed{2000, 64, 0};

struct ReserveCase {
  const char* pattern;
  std::uint32_t coming;
  std::uint32_t asking;
  Duration age;
  Resources kept_free;
};

class UrgentReserveTest : public testing::TestWithParam<ReserveCase> {};

TEST_P(UrgentReserveTest, KeepsRoomOnlyForHigherPriorityThatCameLately) {
  const ReserveCase& tested = this->GetParam();
  UrgentReserve reserve;
  reserve.Observe(tested.coming, kNeed, kStart);
  EXPECT_EQ(reserve.For(tested.asking, kStart + tested.age), tested.kept_free);
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, UrgentReserveTest,
    testing::Values(
        ReserveCase{"LongLowPriorityBesideUrgent", 0, 2, milliseconds(10),
                    kNeed},
        ReserveCase{"TheUrgentOnesThemselves", 0, 0, milliseconds(10), {}},
        ReserveCase{"OnlyLowerPriorityComes", 2, 1, milliseconds(10), {}},
        ReserveCase{"UrgentBurstIsOver", 0, 2, milliseconds(1500), {}}),
    [](const auto& tested) { return std::string(tested.param.pattern); });

TEST(PeerBacklogsTest, SumsWhatTheOthersQueueUntilItIsOutdated) {
  PeerBacklogs backlogs;
  const Backlog queued{milliseconds(300), milliseconds(100)};
  backlogs.Note(EntryId(1), {{kService, queued}}, kStart);
  backlogs.Note(EntryId(2), {{kService, queued}}, kStart + milliseconds(300));
  EXPECT_EQ(backlogs.Of(kService, kStart + milliseconds(300)).Total(),
            milliseconds(800));
  EXPECT_EQ(backlogs.Of(kService, kStart + milliseconds(600)), queued);
  backlogs.Note(EntryId(2), {}, kStart + milliseconds(600));
  EXPECT_EQ(backlogs.Of(kService, kStart + milliseconds(600)), Backlog());
}

// A home with one upstream of four cores, under a document that places tasks by
// their expected end.
class CompetingJobsTest : public testing::Test {
 protected:
  CompetingJobsTest() {
    this->harness.Handle(DocumentRead{
        {kService, DocumentVersion(2),
          R"({"service": "s", "owner": "o", "placement": "soonest_end",
              "order": "least_slack"})"}});
  }
  std::vector<SendToAgent> Submit(std::uint64_t job, std::uint32_t priority,
                                  std::uint32_t tasks) {
    CallerSubmitted submitted;
    submitted.request = RequestId(job);
    submitted.job.key = {job, job};
    submitted.job.service = kService;
    submitted.job.client_account = ClientAccount("t");
    submitted.job.time_allowed = std::chrono::seconds(5);
    submitted.job.objective = std::chrono::seconds(2);
    submitted.job.rerun = RerunPolicy::kAfterLease;
    submitted.job.priority = priority;
    submitted.job.tasks.resize(
        tasks, TaskRequest{Payload(), milliseconds(100), kOneSlot});
    return StartsIn(this->harness.Handle(submitted));
  }

  EntryHarness harness{1, 4};
};

// A burst of long jobs of low priority, with urgent jobs among them.
TEST_F(CompetingJobsTest, LowPriorityLeavesRoomThatUrgentJobsUse) {
  EXPECT_EQ(this->Submit(1, 0, 1).size(), 1U);
  EXPECT_EQ(this->Submit(2, 2, 4).size(), 2U);
  EXPECT_EQ(this->Submit(3, 0, 2).size(), 1U);
}

TEST_F(CompetingJobsTest, LowPriorityUsesAllRoomWhenNothingUrgentComes) {
  EXPECT_EQ(this->Submit(1, 2, 4).size(), 4U);
}

}  // namespace
}  // namespace dandelionspur
