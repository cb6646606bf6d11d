#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EntryId kSelf(10);
const EntryId kOlder(1);
const EntryId kOther(11);
const AgentId kAgent(1000);
const ServiceName kService("s");

ViewMember MemberOf(EntryId entry) {
  ViewMember member;
  member.entry = entry;
  member.peer_endpoint.port = static_cast<std::uint16_t>(entry.value());
  return member;
}

// An entry that has been restarted and joins a view with a member that ran on,
// and another one that joins with it. The test stands in for the two.
class JoiningEntryTest : public testing::Test {
 protected:
  JoiningEntryTest() : entry(Settings()) {
    this->Handle(DocumentRead{{kService, DocumentVersion(1),
                               R"({"service": "s", "owner": "o",
                          "maximum_queued_tasks": 1000})"}});
    this->view.epoch = Epoch(7);
    for (const EntryId member : {kOlder, kSelf, kOther}) {
      this->view.members.push_back(MemberOf(member));
    }
  }

  static EntryCoreSettings Settings() {
    EntryCoreSettings settings;
    settings.self = kSelf;
    settings.bucket_count = 1;
    return settings;
  }
  std::vector<EntryEffect> Handle(const EntryEvent& event) {
    return this->entry.Handle(event, this->now);
  }
  void Join() {
    this->Handle(ViewRead{this->view});
    this->Handle(PeerConnected{kOlder});
    this->Handle(PeerConnected{kOther});
    this->SendState(kOther, {});
  }
  // The other entry tells all that it knows.
  void SendState(EntryId from, const std::vector<AgentSummary>& agents) {
    this->Handle(PeerMessageReceived{
        from, PeerState{this->view, false, agents, {}, true}});
  }
  void SendHeartbeat(EntryId from) {
    PeerHeartbeat heartbeat;
    heartbeat.epoch = this->view.epoch;
    heartbeat.sent_at = this->now;
    heartbeat.coverage = ContactCoverage::kRequested;
    heartbeat.peers = {{kSelf, this->now, Duration()}};
    this->Handle(PeerMessageReceived{from, heartbeat});
  }
  // Lets time pass; the entries in `heard` send heartbeats all the while.
  std::vector<EntryEffect> Advance(Duration span,
                                   const std::vector<EntryId>& heard) {
    std::vector<EntryEffect> all;
    const Timestamp until = this->now + span;
    while (this->now < until) {
      this->now += milliseconds(50);
      for (const EntryId from : heard) this->SendHeartbeat(from);
      for (EntryEffect& effect : this->Handle(EntryTick{0, this->view_age})) {
        all.push_back(std::move(effect));
      }
    }
    return all;
  }
  [[nodiscard]] bool KnowsAllRunningAgents() const {
    return this->entry.buckets().KnowsAllRunningAgents(this->now);
  }
  std::size_t ViewsSentTo(EntryId peer,
                          const std::vector<EntryEffect>& effects) {
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(), [&](const auto& effect) {
          const auto* sent = std::get_if<SendToPeer>(&effect);
          return sent != nullptr && sent->to == peer &&
                 std::holds_alternative<PeerState>(sent->message);
        }));
  }

  EntryCore entry;
  View view;
  Timestamp now{seconds(1'000)};
  Duration view_age = milliseconds(500);
};

// Guards against a member with an outdated view that hears of the present one
// from nobody: its own view names only dead entries, so it sends no heartbeats,
// and goes on as home beside those that have replaced them.
TEST_F(JoiningEntryTest, AMemberThatIsNotHeardIsSentTheView) {
  this->Join();
  const std::vector<EntryEffect> effects = this->Advance(seconds(2), {kOther});
  EXPECT_GE(this->ViewsSentTo(kOlder, effects), 1U);
  EXPECT_EQ(this->ViewsSentTo(kOther, effects), 0U);
}

// Guards against messages that grow without bound towards a member that never
// answers.
TEST_F(JoiningEntryTest, AMemberThatNeverAnswersIsSentTheViewLessAndLessOften) {
  this->Join();
  this->Advance(seconds(10), {kOther});
  const std::vector<EntryEffect> effects = this->Advance(seconds(10), {kOther});
  EXPECT_LE(this->ViewsSentTo(kOlder, effects), 4U);
}

// Guards against two runs of one task: an entry that has just joined knows no
// agent, while a member of its view has its agents run and renew tasks.
TEST_F(JoiningEntryTest, NoAgentKnownIsNoEvidenceWhileAMemberHasNotTold) {
  this->Join();
  this->Advance(Settings().unconfirmed_over_after + seconds(1), {kOther});
  EXPECT_FALSE(this->KnowsAllRunningAgents());
  this->SendState(kOlder, {});
  EXPECT_TRUE(this->KnowsAllRunningAgents());
}

// A message that carries only a view says nothing about agents.
TEST_F(JoiningEntryTest, AViewAloneTellsNoAgents) {
  this->Join();
  this->Handle(
      PeerMessageReceived{kOlder, PeerState{this->view, false, {}, {}, false}});
  this->Advance(Settings().unconfirmed_over_after + milliseconds(500),
                {kOther});
  EXPECT_FALSE(this->KnowsAllRunningAgents());
}

// The member must have stopped confirming its agents by then.
TEST_F(JoiningEntryTest, ASilentMemberIsWaitedForUntilItTrustsNoViewAnyMore) {
  this->Join();
  this->Advance(
      kViewTrustedFor + Settings().unconfirmed_over_after - milliseconds(50),
      {kOther});
  EXPECT_FALSE(this->KnowsAllRunningAgents());
  this->Advance(milliseconds(50), {kOther});
  EXPECT_TRUE(this->KnowsAllRunningAgents());
}

// Guards against an entry whose buckets stay unsettled for good: one that joins
// after it has told its agents does not tell them again.
TEST_F(JoiningEntryTest, AnEntryThatHasToldItsAgentsMayJoinLater) {
  const ViewMember older = this->view.members.front();
  this->view.members.erase(this->view.members.begin());
  this->Join();
  this->SendState(kOlder, {});
  this->view.epoch = Epoch(this->view.epoch.value() + 1);
  this->view.members.push_back(older);
  this->Handle(ViewRead{this->view});
  this->Advance(kContactLimit + Settings().unconfirmed_over_after,
                {kOlder, kOther});
  EXPECT_TRUE(this->KnowsAllRunningAgents());
}

// Both would wait for each other otherwise, and a restart of all would last.
TEST_F(JoiningEntryTest, EntriesThatJoinTogetherWaitForLateOrdersOnly) {
  this->view.members.erase(this->view.members.begin());
  this->Join();
  this->Advance(kContactLimit + Settings().unconfirmed_over_after, {kOther});
  EXPECT_TRUE(this->KnowsAllRunningAgents());
}

// What an agent ordered that a dead member confirmed may be carried out late.
TEST_F(JoiningEntryTest, AMemberThatIsProvenDeadIsWaitedForAfterItsDeath) {
  this->Join();
  this->Advance(seconds(1), {kOther});
  this->Handle(PeerProvenDead{kOlder});
  this->Advance(Settings().unconfirmed_over_after - milliseconds(50), {kOther});
  EXPECT_FALSE(this->KnowsAllRunningAgents());
  this->Advance(milliseconds(50), {kOther});
  EXPECT_TRUE(this->KnowsAllRunningAgents());
}

// The same if it leaves the view before it has told its agents.
TEST_F(JoiningEntryTest, AMemberThatLeftUntoldIsWaitedForAfterItsDeparture) {
  this->Join();
  this->Advance(seconds(1), {kOther});
  this->view.epoch = Epoch(this->view.epoch.value() + 1);
  this->view.members.erase(this->view.members.begin());
  this->Handle(ViewRead{this->view});
  this->Advance(
      kContactLimit + Settings().unconfirmed_over_after - milliseconds(50),
      {kOther});
  EXPECT_FALSE(this->KnowsAllRunningAgents());
  this->Advance(milliseconds(50), {kOther});
  EXPECT_TRUE(this->KnowsAllRunningAgents());
}

Endpoint AddressOf(AgentId agent) {
  return {"10.0.0.1", static_cast<std::uint16_t>(agent.value())};
}

// What an entry that has joined beside a silent member is told within half a
// second, and whether it then knows all agents that may be running tasks.
struct RosterCase {
  std::string name;
  // The view after which the addresses were listed; 0: they are not read.
  std::uint64_t listed_after = 0;
  std::vector<AgentId> listed;
  std::vector<AgentId> registered;
  std::vector<AgentId> vacant;
  bool knows_all = false;
};

class AgentRosterTest : public JoiningEntryTest,
                        public testing::WithParamInterface<RosterCase> {
 protected:
  void Introduce(AgentId agent) {
    this->Handle(AgentConnected{agent});
    Register message;
    message.description.agent = agent;
    message.description.service = kService;
    message.description.admin_endpoint = AddressOf(agent);
    message.epoch = this->view.epoch;
    this->Handle(AgentMessageReceived{agent, message});
  }
  void ReportVacant(AgentId agent) {
    this->Handle(AgentConnected{agent});
    AgentHeartbeat heartbeat;
    heartbeat.sent_at = this->now;
    heartbeat.vacant_address = AddressOf(agent);
    this->Handle(AgentMessageReceived{agent, heartbeat});
  }
};

// Guards against a restart of all processes after which jobs wait for leases
// although every agent has shown that nothing runs, and against two runs of one
// task of an agent that has not shown it.
TEST_P(AgentRosterTest, AllListedAddressesMustBeAccountedFor) {
  const RosterCase& tested = this->GetParam();
  this->Join();
  if (!tested.registered.empty()) this->Introduce(tested.registered.front());
  if (tested.listed_after > 0) {
    AgentAddressesRead read{Epoch(tested.listed_after), {}};
    for (const AgentId agent : tested.listed) {
      read.addresses.push_back(AddressOf(agent));
    }
    this->Handle(read);
  }
  // After the first one, which may come before the list.
  for (const AgentId agent : tested.registered) this->Introduce(agent);
  for (const AgentId agent : tested.vacant) this->ReportVacant(agent);
  this->Advance(milliseconds(500), {kOther});
  EXPECT_EQ(this->KnowsAllRunningAgents(), tested.knows_all);
}

INSTANTIATE_TEST_SUITE_P(
    Lists, AgentRosterTest,
    testing::Values(
        RosterCase{"NotRead", 0, {}, {AgentId(1)}, {}, false},
        RosterCase{"NoAgentListed", 7, {}, {}, {}, true},
        RosterCase{"AllRegistered",
                   7,
                   {AgentId(1), AgentId(2)},
                   {AgentId(1), AgentId(2)},
                   {},
                   true},
        RosterCase{"OneIsMissing",
                   7,
                   {AgentId(1), AgentId(2)},
                   {AgentId(1)},
                   {},
                   false},
        RosterCase{"OneHasNoUpstream",
                   7,
                   {AgentId(1), AgentId(2)},
                   {AgentId(1)},
                   {AgentId(2)},
                   true},
        RosterCase{"AnotherOneHasNoUpstream",
                   7,
                   {AgentId(1), AgentId(2)},
                   {AgentId(1)},
                   {AgentId(3)},
                   false},
        // An agent may have become ready in between, without this entry.
        RosterCase{"ListedBeforeThisEntryJoined",
                   6,
                   {AgentId(1)},
                   {AgentId(1)},
                   {},
                   false}),
    [](const auto& tested) { return tested.param.name; });

// After a restart of all, an entry acts as home as soon as the agents that are
// listed have promised, and not only when all leases must have expired.
TEST_F(AgentRosterTest, BucketsBecomeActiveOnceTheListedAgentsHavePromised) {
  this->view.members = {MemberOf(kSelf)};
  this->view.losses = {{kOlder, this->now, LossProof::kSilent}};
  this->Handle(ViewRead{this->view});
  this->Handle(AgentAddressesRead{this->view.epoch, {AddressOf(kAgent)}});
  this->Introduce(kAgent);
  EXPECT_FALSE(this->entry.buckets().IsActive(BucketId(0)));
  AgentPromiseReply reply;
  reply.part.sequence = 1;
  reply.buckets = {
      {BucketId(0), this->entry.buckets().Promised(BucketId(0)), true}};
  this->Handle(AgentMessageReceived{kAgent, reply});
  EXPECT_TRUE(this->entry.buckets().IsActive(BucketId(0)));
}

bool ConfirmsAgent(const std::vector<EntryEffect>& effects) {
  return std::any_of(effects.begin(), effects.end(), [](const auto& effect) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    return sent != nullptr &&
           std::holds_alternative<EntryHeartbeat>(sent->message);
  });
}

// An entry whose only other members are dead.
struct LeftAloneCase {
  std::string name;
  Duration view_age;
  bool confirms = false;
};

class EntryLeftAloneTest : public JoiningEntryTest,
                           public testing::WithParamInterface<LeftAloneCase> {};

// Guards against two homes side by side: an entry that reaches neither the
// table nor another entry can't know who has replaced the dead ones, and must
// not keep tasks running that they take for over.
TEST_P(EntryLeftAloneTest, ConfirmsAgentsOnlyUnderAViewThatItTrusts) {
  this->Join();
  this->Advance(seconds(1), {kOlder, kOther});
  this->Handle(PeerProvenDead{kOlder});
  this->Handle(PeerProvenDead{kOther});
  this->Handle(AgentConnected{kAgent});
  this->view_age = this->GetParam().view_age;
  this->Advance(seconds(2), {});
  AgentHeartbeat heartbeat;
  heartbeat.sent_at = this->now;
  EXPECT_EQ(
      ConfirmsAgent(this->Handle(AgentMessageReceived{kAgent, heartbeat})),
      this->GetParam().confirms);
}

INSTANTIATE_TEST_SUITE_P(
    ViewAges, EntryLeftAloneTest,
    testing::Values(LeftAloneCase{"ReadJustNow", milliseconds(500), true},
                    LeftAloneCase{"AsOldAsItMayBe", kViewTrustedFor, true},
                    LeftAloneCase{"Outdated", kViewTrustedFor + milliseconds(1),
                                  false}),
    [](const auto& tested) { return tested.param.name; });

// An entry that hears one of two other members; the other one is silent.
struct SilentMemberCase {
  std::string name;
  Duration view_age;
  Duration silent_for;
  bool confirms = false;
};

class SilentMemberTest : public JoiningEntryTest,
                         public testing::WithParamInterface<SilentMemberCase> {
};

// Guards against two sides of a partition that both act: the silent member may
// have removed the others, which can't read that in the table. Also guards
// against a service that ends with every short outage of the table.
TEST_P(SilentMemberTest, MayHaveRemovedThoseThatCannotReadTheTable) {
  this->Join();
  this->Advance(seconds(1), {kOlder, kOther});
  this->Handle(AgentConnected{kAgent});
  this->view_age = this->GetParam().view_age;
  this->Advance(this->GetParam().silent_for, {kOther});
  AgentHeartbeat heartbeat;
  heartbeat.sent_at = this->now;
  EXPECT_EQ(
      ConfirmsAgent(this->Handle(AgentMessageReceived{kAgent, heartbeat})),
      this->GetParam().confirms);
}

constexpr Duration kOutdated = kViewTrustedFor + milliseconds(1);

INSTANTIATE_TEST_SUITE_P(
    Silences, SilentMemberTest,
    testing::Values(SilentMemberCase{"TableIsRead", milliseconds(500),
                                     seconds(8), true},
                    SilentMemberCase{"NotSilentForLong", kOutdated,
                                     milliseconds(4'950), true},
                    SilentMemberCase{"SilentForLong", kOutdated,
                                     milliseconds(5'050), false}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
