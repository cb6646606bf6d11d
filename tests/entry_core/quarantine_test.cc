#include "libraries/entry_core/quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr JobGroupId::ValueType kDeadly = 7;
constexpr JobGroupId::ValueType kOther = 9;
constexpr double kCores = 4;
constexpr std::uint32_t kMoments = 3;
constexpr Duration kBetweenLosses = milliseconds(300);

// One service of ten upstreams.
class QuarantineTest : public testing::Test {
 protected:
  QuarantineTest() {
    for (std::uint64_t i = 1; i <= 10; ++i) {
      this->upstreams.push_back({AgentId(i), i * 1000, kCores, true});
    }
    this->limits.maximum_percent = 50;
  }

  // Jobs that keep this number of cores busy.
  void Demand(JobGroupId::ValueType group, double cores) {
    constexpr double kAverageOverMicroseconds = 3'000'000;
    this->demand.Add(
        JobGroupId(group),
        Duration(static_cast<std::int64_t>(cores * kAverageOverMicroseconds)),
        this->now);
    this->demand.Advance(this->now);
  }
  // An upstream is lost shortly after a task of the deadly group has started.
  void Lose(AgentId agent) {
    RecentLoss loss;
    loss.number = ++this->losses;
    loss.suspects = {JobGroupId(kDeadly)};
    this->quarantine.Record(agent, {loss}, this->now);
  }
  void LoseThree() {
    for (std::uint32_t i = 1; i <= kMoments; ++i) {
      this->now += kBetweenLosses;
      this->Lose(AgentId(i));
    }
  }
  std::vector<QuarantineStep> Update() {
    return this->quarantine.Update(this->upstreams, this->demand, this->limits,
                                   this->now);
  }
  [[nodiscard]] bool IsQuarantined() const {
    return this->quarantine.Contains(JobGroupId(kDeadly));
  }
  [[nodiscard]] std::vector<AgentId> Chosen() const {
    return this->quarantine.UpstreamsOf(JobGroupId(kDeadly));
  }
  // The time from the latest loss to the release.
  Duration TimeToRelease() {
    const Timestamp begin = this->now;
    while (this->IsQuarantined()) {
      this->now += seconds(1);
      this->Update();
    }
    return this->now - begin;
  }

  Timestamp now{seconds(100)};
  std::uint32_t losses = 0;
  std::vector<QuarantineUpstream> upstreams;
  GroupDemand demand;
  QuarantineLimits limits;
  Quarantine quarantine;
};

// Guards against deadly jobs that take down all upstreams, since each job is
// new: no count per task stops them.
TEST_F(QuarantineTest, AGroupOfDeadlyJobsIsQuarantined) {
  this->Demand(kDeadly, 6);
  this->Demand(kOther, 10);
  this->LoseThree();
  const std::vector<QuarantineStep> steps = this->Update();
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].phase, QuarantinePhase::kBegun);
  EXPECT_EQ(steps[0].group, JobGroupId(kDeadly));
  EXPECT_EQ(steps[0].losses, kMoments);
  EXPECT_EQ(steps[0].moments, kMoments);
  EXPECT_EQ(steps[0].upstreams, this->Chosen().size());
}

// Guards against a quarantine that takes capacity away and protects nobody.
TEST_F(QuarantineTest, TheOnlyGroupIsNotQuarantined) {
  this->Demand(kDeadly, 6);
  this->LoseThree();
  EXPECT_TRUE(this->Update().empty());
  EXPECT_FALSE(this->IsQuarantined());
}

// Guards against a large group that is blamed for crashes of other causes,
// since its tasks run on nearly every upstream that is lost.
TEST_F(QuarantineTest, AGroupWithMostOfTheDemandIsNotQuarantined) {
  this->Demand(kDeadly, 20);
  this->Demand(kOther, 10);
  this->LoseThree();
  EXPECT_TRUE(this->Update().empty());
  EXPECT_FALSE(this->IsQuarantined());
}

// Guards against jobs that are refused although the only upstream that is left
// could run them.
TEST_F(QuarantineTest, ItEndsWhenOneUpstreamIsLeft) {
  this->Demand(kDeadly, 10);
  this->Demand(kOther, 20);
  this->LoseThree();
  this->Update();
  ASSERT_TRUE(this->IsQuarantined());
  this->upstreams.resize(1);
  this->Update();
  EXPECT_FALSE(this->IsQuarantined());
}

TEST_F(QuarantineTest, AnOperatorCanTurnItOff) {
  this->Demand(kDeadly, 6);
  this->Demand(kOther, 10);
  this->limits.maximum_percent = 0;
  this->LoseThree();
  EXPECT_TRUE(this->Update().empty());
  EXPECT_FALSE(this->IsQuarantined());
}

// Guards against entries that send the tasks of one group to different
// upstreams, and against a quarantine that moves to healthy upstreams.
TEST_F(QuarantineTest, TheUpstreamsDependOnNeitherOrderNorState) {
  this->Demand(kDeadly, 8);
  this->Demand(kOther, 10);
  this->LoseThree();
  this->Update();
  const std::vector<AgentId> chosen = this->Chosen();
  std::reverse(this->upstreams.begin(), this->upstreams.end());
  for (QuarantineUpstream& upstream : this->upstreams) {
    upstream.usable =
        std::find(chosen.begin(), chosen.end(), upstream.agent) == chosen.end();
  }
  this->now += seconds(2);
  this->Update();
  EXPECT_EQ(this->Chosen(), chosen);
  EXPECT_EQ(this->quarantine.UsableCoresOf(JobGroupId(kDeadly)), 0);
  EXPECT_GT(this->quarantine.UntilUsable(JobGroupId(kDeadly), this->now),
            Duration());
}

TEST_F(QuarantineTest, ARelapseIsReleasedLater) {
  this->Demand(kOther, 1000);
  this->Demand(kDeadly, 1000);
  Duration former{};
  for (int relapse = 0; relapse < 3; ++relapse) {
    this->LoseThree();
    this->Update();
    ASSERT_TRUE(this->IsQuarantined());
    const Duration time = this->TimeToRelease();
    EXPECT_GT(time, former);
    former = time;
  }
}

// The cores that both parts keep busy, and the upstreams that are set aside.
struct SizeCase {
  std::string name;
  double deadly = 0;
  double others = 0;
  std::uint32_t maximum_percent = 0;
  std::size_t expected = 0;
};

void PrintTo(const SizeCase& sizes, std::ostream* out) { *out << sizes.name; }

class QuarantineSizeTest : public QuarantineTest,
                           public testing::WithParamInterface<SizeCase> {};

TEST_P(QuarantineSizeTest, CoversTheDemandAndLeavesRoomForOthers) {
  this->Demand(kDeadly, GetParam().deadly);
  this->Demand(kOther, GetParam().others);
  this->limits.maximum_percent = GetParam().maximum_percent;
  this->LoseThree();
  this->Update();
  ASSERT_TRUE(this->IsQuarantined());
  EXPECT_EQ(this->Chosen().size(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, QuarantineSizeTest,
    testing::Values(SizeCase{"ASmallGroupTakesOne", 1, 10, 50, 1},
                    SizeCase{"TheGroupsOwnDemand", 6, 10, 50, 4},
                    SizeCase{"OthersNeedTheRest", 16, 24, 50, 2},
                    SizeCase{"AtLeastOneUnderOverload", 16, 80, 50, 1},
                    SizeCase{"TheOperatorsShare", 8, 9, 20, 2}),
    [](const auto& item) { return item.param.name; });

// Guards against a group whose demand grows while it is quarantined, and that
// leaves the other groups no upstream.
TEST_F(QuarantineTest, OneUpstreamRemainsForOthers) {
  this->Demand(kDeadly, 0.1);
  this->Demand(kOther, 0.1);
  this->limits.maximum_percent = 100;
  this->LoseThree();
  this->Update();
  ASSERT_TRUE(this->IsQuarantined());
  this->Demand(kDeadly, 100);
  this->now += seconds(1);
  this->Update();
  EXPECT_EQ(this->Chosen().size(), this->upstreams.size() - 1);
}

constexpr std::uint32_t kSlots = 4;

// A home with four upstreams of four cores each.
class HomeQuarantineTest : public testing::Test {
 protected:
  std::vector<EntryEffect> Submit(JobGroupId::ValueType group,
                                  Duration objective = Duration()) {
    constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15ULL;
    CallerSubmitted submitted;
    submitted.request = RequestId(++this->jobs);
    submitted.job.key = {this->jobs * kSpread, this->jobs};
    submitted.job.service = ServiceName("s");
    submitted.job.client_account = ClientAccount("t");
    submitted.job.group = JobGroupId(group);
    submitted.job.time_allowed = seconds(5);
    submitted.job.objective = objective;
    submitted.job.rerun = RerunPolicy::kAfterLease;
    submitted.job.tasks.resize(
        1, TaskRequest{Payload(), milliseconds(100), kOneSlot});
    return this->harness.Handle(submitted);
  }
  std::vector<EntryEffect> Lose(std::uint32_t agent) {
    AgentHeartbeat heartbeat{this->harness.Load(0, ++this->seen),
                             this->harness.now()};
    RecentLoss loss;
    loss.number = ++this->losses;
    loss.suspects = {JobGroupId(kDeadly)};
    heartbeat.recent_losses = {loss};
    return this->harness.Handle(
        AgentMessageReceived{this->harness.Agent(agent), heartbeat});
  }
  void Quarantine() {
    this->Submit(kOther);
    this->Submit(kDeadly);
    std::vector<QuarantineChanged> changes;
    for (const std::uint32_t agent : {0, 1, 2}) {
      for (const EntryEffect& effect : this->Lose(agent)) {
        const auto* change = std::get_if<QuarantineChanged>(&effect);
        if (change != nullptr) changes.push_back(*change);
      }
      this->harness.Advance(milliseconds(100));
    }
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].group, JobGroupId(kDeadly));
    EXPECT_EQ(changes[0].upstreams, 1U);
    this->RefreshLoads();
  }
  void RefreshLoads() {
    this->seen += kSlots * 10;
    for (std::uint32_t i = 0; i < 4; ++i) {
      this->harness.SendHeartbeat(this->harness.Agent(i),
                                  this->harness.Load(0, this->seen));
    }
  }

  EntryHarness harness{4, kSlots};
  std::uint64_t jobs = 0;
  std::uint64_t seen = 0;
  std::uint32_t losses = 0;
};

// Guards against deadly tasks beside those of other groups, and against a full
// quarantine that keeps the jobs of other groups waiting.
TEST_F(HomeQuarantineTest, TheGroupAndTheOthersRunApart) {
  this->Quarantine();
  std::set<AgentId> deadly;
  std::set<AgentId> others;
  for (std::uint32_t i = 0; i < 2 * kSlots; ++i) {
    for (const SendToAgent& sent : StartsIn(this->Submit(kDeadly))) {
      EXPECT_EQ(std::get<Start>(sent.message).scope,
                PlacementScope::kInQuarantine);
      deadly.insert(sent.to);
    }
  }
  for (std::uint32_t i = 0; i < 3 * kSlots; ++i) {
    const std::vector<SendToAgent> starts = StartsIn(this->Submit(kOther));
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(std::get<Start>(starts[0].message).scope,
              PlacementScope::kOutsideQuarantines);
    others.insert(starts[0].to);
  }
  EXPECT_EQ(deadly.size(), 1U);
  EXPECT_EQ(others.size(), 3U);
  EXPECT_FALSE(others.contains(*deadly.begin()));
}

// Guards against jobs that wait until their deadlines for the few upstreams of
// their group, and against refusals of jobs that other upstreams can serve.
TEST_F(HomeQuarantineTest, JobsThatTheQuarantineCannotServeAreRefusedAtOnce) {
  this->Quarantine();
  constexpr Duration kObjective = milliseconds(150);
  std::size_t refused = 0;
  for (std::uint32_t i = 0; i < 20 * kSlots; ++i) {
    for (const AnswerCaller& answer :
         AnswersIn(this->Submit(kDeadly, kObjective))) {
      EXPECT_EQ(answer.answer.verdict, Verdict::kNotRun);
      EXPECT_GT(answer.answer.retry_after, 2 * kObjective);
      ++refused;
    }
  }
  EXPECT_GT(refused, 10 * kSlots);
  EXPECT_TRUE(AnswersIn(this->Submit(kOther, kObjective)).empty());
}

}  // namespace
}  // namespace dandelionspur
