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

  // Another entry tells that it queues jobs that are in time.
  void TellPeerBacklog(Duration in_time) {
    PeerHeartbeat heartbeat;
    heartbeat.sent_at = this->harness.now();
    heartbeat.backlogs = {{kService, {in_time, Duration()}}};
    this->harness.Handle(PeerMessageReceived{EntryId(77), heartbeat});
  }

  EntryHarness harness{1, 8};
};

// A burst of long jobs of low priority, with urgent jobs among them.
TEST_F(CompetingJobsTest, LowPriorityLeavesRoomThatUrgentJobsUse) {
  EXPECT_EQ(this->Submit(1, 0, 1).size(), 1U);
  EXPECT_EQ(this->Submit(2, 2, 8).size(), 6U);
  EXPECT_EQ(this->Submit(3, 0, 2).size(), 1U);
}

TEST_F(CompetingJobsTest, LowPriorityUsesAllRoomWhenNothingUrgentComes) {
  EXPECT_EQ(this->Submit(1, 2, 8).size(), 8U);
}

struct YieldCase {
  const char* pattern;
  Duration peers_queue;
  Duration told_before;
  std::size_t starts;
};

class YieldTest : public CompetingJobsTest,
                  public testing::WithParamInterface<YieldCase> {};

// A crest has left late jobs here, while other entries queue jobs that are in
// time: what becomes free belongs to those.
TEST_P(YieldTest, LateJobsStartOnlyWhileNoOtherEntryQueuesJobsInTime) {
  const YieldCase& tested = this->GetParam();
  const std::uint64_t sent = this->Submit(1, 0, 8).size();
  this->Submit(2, 0, 2);
  constexpr int kStepsUntilLate = 40;
  for (int i = 0; i < kStepsUntilLate; ++i) {
    this->harness.Advance(milliseconds(50));
    this->harness.SendHeartbeat(this->harness.Agent(0),
                                this->harness.Load(8, sent));
  }
  this->TellPeerBacklog(tested.peers_queue);
  this->harness.Advance(tested.told_before);
  const auto started = StartsIn(this->harness.SendHeartbeat(
      this->harness.Agent(0), this->harness.Load(0, sent)));
  EXPECT_EQ(started.size(), tested.starts);
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, YieldTest,
    testing::Values(YieldCase{"OthersAreInTime", std::chrono::seconds(4),
                              milliseconds(50), 0},
                    YieldCase{"OthersQueueNothing", Duration(),
                              milliseconds(50), 2},
                    YieldCase{"TheReportIsOutdated", std::chrono::seconds(4),
                              milliseconds(700), 2}),
    [](const auto& tested) { return std::string(tested.param.pattern); });

}  // namespace
}  // namespace dandelionspur
