#include "libraries/entry_core/agent_contacts.h"

#include <gtest/gtest.h>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const EntryId kSelf(1);
const EntryId kPeer(2);
const AgentId kAgent(100);

// What one entry knows of its agents and of one peer.
class AgentContactsTest : public testing::Test {
 protected:
  AgentContactsTest()
      : peers(milliseconds(1'000)), contacts(Settings(), agents, peers) {
    for (const EntryId entry : {kSelf, kPeer}) {
      ViewMember member;
      member.entry = entry;
      member.peer_endpoint.port = static_cast<std::uint16_t>(entry.value());
      this->view = WithMember(this->view, member, this->now);
    }
    this->peers.Connected(kPeer, this->now);
  }

  static EntryCoreSettings Settings() {
    EntryCoreSettings settings;
    settings.self = kSelf;
    return settings;
  }

  void AddAgents(std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
      KnownAgent& agent = this->agents.Add(AgentId(kAgent.value() + i));
      agent.connected = true;
      agent.last_heard = this->now;
      agent.NoteHeartbeat(this->now, this->now);
    }
  }
  // Delivers a heartbeat of the peer that lists `sightings` and confirms this
  // entry's latest heartbeat.
  void DeliverHeartbeat(const std::vector<AgentContact>& sightings,
                        const std::vector<AgentId>& missing = {}) {
    PeerHeartbeat heartbeat;
    heartbeat.sent_at = this->now;
    heartbeat.coverage = ContactCoverage::kRequested;
    heartbeat.peers = {{kSelf, this->now, Duration()}};
    heartbeat.sightings = sightings;
    heartbeat.missing_agents = missing;
    this->contacts.OnHeartbeat(kPeer, heartbeat, this->now);
  }
  std::size_t HeartbeatBytes() {
    const PeerMessage message =
        this->contacts.HeartbeatFor(kPeer, this->view, this->now);
    return WireCodec::ToMessagePack(message).size();
  }
  bool RunsAreOver() {
    return this->contacts.RunsAreOver(*this->agents.Find(kAgent),
                                      StartConfirmation::kConfirmed, this->view,
                                      this->now);
  }

  Timestamp now{std::chrono::seconds(1'000)};
  AgentRegistry agents;
  PeerDirectory peers;
  AgentContacts contacts;
  View view;
};

// Guards against heartbeats between entries that grow with the agents: at 35
// entries and 160 agents they filled half of a small instance's link.
TEST_F(AgentContactsTest, HeartbeatsOfAnIdleFleetDoNotGrowWithAgents) {
  this->DeliverHeartbeat({});
  const std::size_t without_agents = this->HeartbeatBytes();
  this->AddAgents(160);
  EXPECT_EQ(this->HeartbeatBytes(), without_agents);
}

// An entry that does not hear an agent asks, and the other one answers.
TEST_F(AgentContactsTest, AMissingAgentIsAskedForAndReported) {
  this->AddAgents(2);
  this->DeliverHeartbeat({}, {kAgent});
  const PeerHeartbeat answer =
      this->contacts.HeartbeatFor(kPeer, this->view, this->now);
  ASSERT_EQ(answer.sightings.size(), 1U);
  EXPECT_EQ(answer.sightings.front().agent, kAgent);
  EXPECT_TRUE(answer.missing_agents.empty());
  this->now += milliseconds(400);
  this->agents.Find(kAgent)->last_heard = this->now;
  const PeerHeartbeat question =
      this->contacts.HeartbeatFor(kPeer, this->view, this->now);
  EXPECT_EQ(question.missing_agents,
            std::vector<AgentId>{AgentId(kAgent.value() + 1)});
}

// Guards against an agent's tasks that run twice: a peer that does not list an
// agent may have contact with it.
TEST_F(AgentContactsTest, ARunMayContinueWhileAPeerHasNotReported) {
  this->AddAgents(1);
  const Timestamp last_contact = this->now;
  this->now += Settings().lease_over_after + milliseconds(500);
  this->DeliverHeartbeat({});
  EXPECT_FALSE(this->RunsAreOver());
  this->DeliverHeartbeat({});
  this->now += milliseconds(1);
  this->DeliverHeartbeat({{kAgent, last_contact, this->now - last_contact}});
  EXPECT_TRUE(this->RunsAreOver());
}

// The peer's own contact counts as soon as it reports it.
TEST_F(AgentContactsTest, ARunMayContinueAfterAContactOfThePeer) {
  this->AddAgents(1);
  this->now += Settings().lease_over_after + milliseconds(500);
  this->DeliverHeartbeat(
      {{kAgent, this->now - milliseconds(10), milliseconds(10)}});
  EXPECT_FALSE(this->RunsAreOver());
}

// Guards the operation of mixed versions: a peer that does not ask must be sent
// all contacts.
TEST_F(AgentContactsTest, APeerOfAnEarlierVersionIsSentAllContacts) {
  this->AddAgents(3);
  PeerHeartbeat earlier;
  earlier.sent_at = this->now;
  this->contacts.OnHeartbeat(kPeer, earlier, this->now);
  const PeerHeartbeat heartbeat =
      this->contacts.HeartbeatFor(kPeer, this->view, this->now);
  EXPECT_EQ(heartbeat.sightings.size(), 3U);
  EXPECT_EQ(heartbeat.coverage, ContactCoverage::kAll);
}

}  // namespace
}  // namespace dandelionspur
