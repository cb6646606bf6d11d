#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "tests/support/lost_agent_case.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLeaseOver = LeaseOverAfter(seconds(1));

std::vector<ProposeView> ProposalsIn(const std::vector<EntryEffect>& effects) {
  std::vector<ProposeView> proposals;
  for (const EntryEffect& effect : effects) {
    const auto* proposal = std::get_if<ProposeView>(&effect);
    if (proposal != nullptr) proposals.push_back(*proposal);
  }
  return proposals;
}

// One task runs at the agent that is lost.
class RefusedConnectionTest : public LostAgentCase {
 protected:
  RefusedConnectionTest() {
    const std::vector<SendToAgent> starts =
        StartsIn(this->entry.Submit(1, /*tasks=*/1, seconds(5)));
    EXPECT_EQ(starts.size(), 1U);
    if (starts.empty()) return;
    this->agent = starts.front().to;
    // The upstream has carried out the start.
    this->entry.SendHeartbeat(this->agent, this->entry.Load(1, 1));
  }
};

// Guards against two runs of one task: the agent of a refused connection may
// live on, and may extend leases for the full time after its last contact.
TEST_F(RefusedConnectionTest, TaskWaitsUntilTheLeasesOfALivingAgentAreOver) {
  EXPECT_TRUE(StartsIn(this->RefuseConnections()).empty());
  EXPECT_TRUE(StartsIn(this->Advance(kLeaseOver - milliseconds(100))).empty());
  const std::vector<SendToAgent> restarts =
      StartsIn(this->Advance(milliseconds(200)));
  ASSERT_EQ(restarts.size(), 1U);
  EXPECT_EQ(restarts.front().to, this->OtherAgent());
}

// Guards against callers that wait in vain for an agent that has probably
// ended: who can't use an answer after the leases is answered at once.
TEST_F(RefusedConnectionTest, CallerThatCannotWaitIsAnsweredAtOnce) {
  const std::vector<SendToAgent> starts =
      StartsIn(this->entry.Submit(2, /*tasks=*/1, seconds(1)));
  ASSERT_EQ(starts.size(), 1U);
  this->agent = starts.front().to;
  const std::vector<AnswerCaller> answers =
      AnswersIn(this->RefuseConnections());
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().answer.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(answers.front().answer.reason, Reason::kAgentLost);
}

// Guards against an agent that serves nothing any more after a network
// partition that refused connections.
TEST_F(RefusedConnectionTest, AgentThatReturnsIsGivenTasksAgain) {
  this->RefuseConnections();
  this->Advance(seconds(2));
  this->entry.Handle(AgentConnected{this->agent});
  AgentDescription description;
  description.agent = this->agent;
  description.service = ServiceName("s");
  description.capacity = kOneSlot;
  description.admin_endpoint.port = 77;
  this->entry.Handle(
      AgentMessageReceived{this->agent, Register{description, Epoch(1)}});
  this->entry.Handle(AgentMessageReceived{this->agent, AgentReady{Epoch(1)}});
  this->entry.SendHeartbeat(this->agent, this->entry.Load(0, 0));
  std::vector<SendToAgent> starts;
  for (std::uint64_t number = 10; number < 12; ++number) {
    for (const SendToAgent& sent :
         StartsIn(this->entry.Submit(number, 1, seconds(5)))) {
      starts.push_back(sent);
    }
  }
  EXPECT_TRUE(std::any_of(starts.begin(), starts.end(), [&](const auto& sent) {
    return sent.to == this->agent;
  }));
}

// An agent that has announced its departure and reported that it is idle takes
// no action any more, so its tasks need not wait for leases.
TEST_F(RefusedConnectionTest, TasksOfADepartedAgentDoNotWait) {
  this->entry.Handle(AgentMessageReceived{this->agent, AgentLeaving{}});
  AgentLoad idle = this->entry.Load(0, 1);
  idle.leaving = true;
  this->entry.SendHeartbeat(this->agent, idle);
  const std::vector<SendToAgent> restarts =
      StartsIn(this->entry.Handle(AgentDisconnected{this->agent}));
  ASSERT_EQ(restarts.size(), 1U);
  EXPECT_EQ(restarts.front().to, this->OtherAgent());
}

// An entry in a view of four members.
class RefusingMembersTest : public testing::Test {
 protected:
  RefusingMembersTest() : entry(Settings()) {
    View view;
    for (std::uint64_t id = 1; id <= 4; ++id) {
      ViewMember member;
      member.entry = EntryId(id);
      member.peer_endpoint.port = static_cast<std::uint16_t>(id);
      view = WithMember(view, member, this->now);
    }
    this->Handle(ViewRead{view});
    for (std::uint64_t id = 2; id <= 4; ++id) {
      this->Handle(PeerConnected{EntryId(id)});
    }
    this->Advance(milliseconds(300), {2, 3, 4}, {});
  }
  static EntryCoreSettings Settings() {
    EntryCoreSettings settings;
    settings.self = EntryId(1);
    settings.bucket_count = 8;
    return settings;
  }

  std::vector<EntryEffect> Handle(const EntryEvent& event) {
    return this->entry.Handle(event, this->now);
  }
  // Advances time; the entries `alive` send heartbeats that confirm those of
  // this entry, and the first of them tells that it hears the entries `heard`.
  std::vector<EntryEffect> Advance(Duration step,
                                   const std::vector<std::uint64_t>& alive,
                                   const std::vector<std::uint64_t>& heard) {
    std::vector<EntryEffect> all;
    const Timestamp until = this->now + step;
    while (this->now < until) {
      this->now += milliseconds(50);
      for (const std::uint64_t id : alive) {
        PeerHeartbeat heartbeat;
        heartbeat.epoch = Epoch(4);
        heartbeat.sent_at = this->now;
        heartbeat.coverage = ContactCoverage::kRequested;
        heartbeat.peers = {{EntryId(1), this->now, Duration()}};
        for (const std::uint64_t other : heard) {
          heartbeat.peers.push_back({EntryId(other), this->now, Duration()});
        }
        this->Handle(PeerMessageReceived{EntryId(id), heartbeat});
      }
      for (EntryEffect& effect : this->Handle(EntryTick{})) {
        all.push_back(std::move(effect));
      }
    }
    return all;
  }
  void RefuseConnections(std::uint64_t id) {
    this->Handle(PeerDisconnected{EntryId(id)});
    this->Handle(PeerRefusesConnections{EntryId(id)});
  }

  Timestamp now{seconds(1'000)};
  EntryCore entry;
};

// Guards against a living entry that is removed from the view since one link to
// it is cut and refuses connections.
TEST_F(RefusingMembersTest, MemberThatAnotherEntryHearsStaysInTheView) {
  this->RefuseConnections(4);
  EXPECT_TRUE(
      ProposalsIn(this->Advance(seconds(3), {2, 3}, {/*heard=*/4})).empty());
}

// Guards against two runs of one task, and against a minority that can't act
// until each lost member has been removed in a view of its own: a member leaves
// the view once no lease can last that it has confirmed to an agent.
TEST_F(RefusingMembersTest, MembersThatNobodyHearsLeaveTogetherAfterTheLeases) {
  this->RefuseConnections(3);
  this->RefuseConnections(4);
  const Duration until_over =
      Settings().suspect_after + Settings().lease_over_after;
  EXPECT_TRUE(
      ProposalsIn(this->Advance(until_over - milliseconds(100), {2}, {}))
          .empty());
  const std::vector<ProposeView> proposals =
      ProposalsIn(this->Advance(milliseconds(700), {2}, {}));
  ASSERT_FALSE(proposals.empty());
  const View& proposed = proposals.front().view;
  EXPECT_EQ(proposed.members.size(), 2U);
  EXPECT_EQ(proposed.epoch, Epoch(5));
  ASSERT_EQ(proposed.losses.size(), 2U);
  for (const EntryLoss& loss : proposed.losses) {
    EXPECT_EQ(loss.proof, LossProof::kSilent);
  }
}

}  // namespace
}  // namespace dandelionspur
