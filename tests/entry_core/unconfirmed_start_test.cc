#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "tests/support/lost_agent_case.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlack = milliseconds(100);
constexpr Duration kUnconfirmedOver =
    RunsOverAfter(seconds(1), StartConfirmation::kUnconfirmed);
constexpr Duration kConfirmedOver =
    RunsOverAfter(seconds(1), StartConfirmation::kConfirmed);

// The entry has started a task at the agent that is lost, whose last report
// says whether the upstream has carried out the start.
class UnconfirmedStartTest : public LostAgentCase {
 protected:
  // Submits a job and lets its agent report how many of its starts aren't
  // confirmed; nothing from an earlier version.
  void StartTask(Duration time_allowed, std::optional<std::uint32_t> reported) {
    const std::vector<SendToAgent> starts =
        StartsIn(this->entry.Submit(kJob, /*tasks=*/1, time_allowed));
    ASSERT_EQ(starts.size(), 1U);
    this->agent = starts.front().to;
    AgentLoad load = this->entry.Load(1, 1);
    load.starts_unconfirmed = reported;
    this->entry.SendHeartbeat(this->agent, load);
  }
  // Another agent at the address has found nothing running, and registers.
  std::vector<EntryEffect> RegisterSuccessor() {
    AgentDescription description;
    description.agent = AgentId(this->agent.value() + 1'000);
    description.service = ServiceName("s");
    description.capacity = kOneSlot;
    description.admin_endpoint = this->AddressOfAgent();
    this->entry.Handle(AgentConnected{description.agent});
    return this->entry.Handle(AgentMessageReceived{
        description.agent, Register{description, Epoch(1)}});
  }

  [[nodiscard]] Endpoint AddressOfAgent() const {
    Endpoint address;
    address.port = static_cast<std::uint16_t>(this->agent.value() -
                                              this->entry.Agent(0).value() + 1);
    return address;
  }
  static std::vector<Endpoint> ReleasesIn(
      const std::vector<EntryEffect>& effects) {
    std::vector<Endpoint> addresses;
    for (const EntryEffect& effect : effects) {
      const auto* release = std::get_if<ReleaseAgentAddress>(&effect);
      if (release != nullptr) addresses.push_back(release->address);
    }
    return addresses;
  }

  static constexpr std::uint64_t kJob = 1;
};

struct ReportCase {
  std::string name;
  std::optional<std::uint32_t> unconfirmed;
  // When the task may be started at another agent.
  Duration over_after;
};

class StartReportTest : public UnconfirmedStartTest,
                        public testing::WithParamInterface<ReportCase> {};

// Guards against two runs of a task at once: the agent was killed before the
// upstream had answered its start, which was carried out seconds later. Also
// guards against waiting for starts that the upstream has answered.
TEST_P(StartReportTest, ATaskRunsElsewhereOnceItsStartHasNoEffect) {
  this->StartTask(seconds(30), this->GetParam().unconfirmed);
  EXPECT_TRUE(StartsIn(this->RefuseConnections()).empty());
  EXPECT_TRUE(
      StartsIn(this->Advance(this->GetParam().over_after - kSlack)).empty());
  const std::vector<SendToAgent> restarts = StartsIn(this->Advance(2 * kSlack));
  ASSERT_EQ(restarts.size(), 1U);
  EXPECT_EQ(restarts.front().to, this->OtherAgent());
}

INSTANTIATE_TEST_SUITE_P(
    Reports, StartReportTest,
    testing::Values(ReportCase{"Confirmed", 0U, kConfirmedOver},
                    ReportCase{"Unconfirmed", 1U, kUnconfirmedOver},
                    ReportCase{"EarlierVersion", std::nullopt,
                               kUnconfirmedOver}),
    [](const auto& test) { return test.param.name; });

// Guards against a wait that outlasts its reason: the successor has raised the
// fencing token at the upstream.
TEST_F(UnconfirmedStartTest, TheSuccessorOfTheAgentEndsTheWait) {
  this->StartTask(seconds(30), 1U);
  this->RefuseConnections();
  EXPECT_TRUE(StartsIn(this->Advance(seconds(4))).empty());
  EXPECT_EQ(StartsIn(this->RegisterSuccessor()).size(), 1U);
}

// Guards against callers that are held in vain, or that aren't told when to
// come back: each answer names a time at which the job is served.
TEST_F(UnconfirmedStartTest, CallersThatCannotWaitAreToldWhenToComeBack) {
  const Duration time_allowed = milliseconds(1'500);
  this->StartTask(time_allowed, 1U);
  const std::vector<AnswerCaller> lost = AnswersIn(this->RefuseConnections());
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost.front().answer.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(lost.front().answer.reason, Reason::kAgentLost);
  const Timestamp served_from =
      this->entry.now() + lost.front().answer.retry_after;

  this->Advance(milliseconds(1'300));
  const std::vector<AnswerCaller> again =
      AnswersIn(this->entry.Submit(kJob, /*tasks=*/1, time_allowed));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again.front().answer.verdict, Verdict::kMayHaveRun);
  EXPECT_LE(this->entry.now() + again.front().answer.retry_after,
            served_from + kSlack);

  this->Advance(served_from - this->entry.now() + kSlack);
  EXPECT_EQ(
      StartsIn(this->entry.Submit(kJob, /*tasks=*/1, time_allowed)).size(), 1U);
}

// Guards against a Retry-After that isn't true: while other entries hear the
// agent, its contact is renewed all the time, and it may return at any moment.
TEST_F(UnconfirmedStartTest, WhileOthersHearTheAgentCallersWait) {
  const Duration time_allowed = milliseconds(1'500);
  this->StartTask(time_allowed, 1U);
  this->RefuseConnections();
  this->Advance(milliseconds(1'300));
  PeerHeartbeat heard;
  heard.sightings = {{this->agent, this->entry.now(), Duration()}};
  this->entry.Handle(PeerMessageReceived{EntryId(2), heard});
  EXPECT_TRUE(
      AnswersIn(this->entry.Submit(kJob, /*tasks=*/1, time_allowed)).empty());
}

// Guards against entries that join after a later loss of all processes and wait
// for an agent that has gone for good; and against an address that is released
// while a late order may start a task there.
TEST_F(UnconfirmedStartTest, TheAddressOfALostAgentIsReleasedOnce) {
  this->StartTask(seconds(1), 1U);
  this->RefuseConnections();
  EXPECT_TRUE(ReleasesIn(this->Advance(kUnconfirmedOver - kSlack)).empty());
  const std::vector<Endpoint> released =
      ReleasesIn(this->Advance(seconds(2) + 2 * kSlack));
  ASSERT_FALSE(released.empty());
  EXPECT_EQ(released.front(), this->AddressOfAgent());
  this->RegisterSuccessor();
  EXPECT_TRUE(ReleasesIn(this->Advance(seconds(5))).empty());
}

// Guards against jobs that wait for a start of another one.
TEST_F(UnconfirmedStartTest, OtherJobsDoNotWait) {
  this->StartTask(seconds(30), 1U);
  this->RefuseConnections();
  this->Advance(milliseconds(50));
  EXPECT_EQ(StartsIn(this->entry.Submit(2, /*tasks=*/1, seconds(1))).size(),
            1U);
}

}  // namespace
}  // namespace dandelionspur
