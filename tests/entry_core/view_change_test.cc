#include <gtest/gtest.h>

#include <set>

#include "tests/support/core_bench.h"

namespace dandelionspur {
namespace {

// The messages that an entry sends at a change of the view.
struct ViewChangeTraffic {
  std::size_t states = 0;
  std::set<BucketId> requested_buckets;
  std::size_t views_to_agents = 0;
};

template <typename Message>
void AddRequested(const Message& message, ViewChangeTraffic& traffic) {
  const auto* request = std::get_if<PromiseRequest>(&message);
  if (request == nullptr) return;
  for (const BucketBallot& asked : request->buckets) {
    traffic.requested_buckets.insert(asked.bucket);
  }
}

ViewChangeTraffic TrafficOf(const std::vector<EntryEffect>& effects) {
  ViewChangeTraffic traffic;
  for (const EntryEffect& effect : effects) {
    if (const auto* peer = std::get_if<SendToPeer>(&effect)) {
      if (std::holds_alternative<PeerState>(peer->message)) ++traffic.states;
      AddRequested(peer->message, traffic);
    }
    if (const auto* agent = std::get_if<SendToAgent>(&effect)) {
      if (std::holds_alternative<RegisterAcknowledged>(agent->message)) {
        ++traffic.views_to_agents;
      }
      AddRequested(agent->message, traffic);
    }
  }
  return traffic;
}

class ViewChangeTest : public testing::Test {
 protected:
  static CoreBenchShape Fleet() {
    CoreBenchShape shape;
    shape.agents = 40;
    shape.living_peers = 10;
    return shape;
  }
  ViewChangeTest() : bench(Fleet()) {}

  // The effects of a view with one more entry.
  std::vector<EntryEffect> Join() {
    ViewMember joiner;
    joiner.entry = EntryId(9'000);
    joiner.peer_endpoint.port = 9'000;
    return this->bench.Handle(
        ViewRead{WithMember(this->bench.core().view(), joiner, Timestamp())});
  }
  [[nodiscard]] std::set<BucketId> ActiveBuckets() {
    std::set<BucketId> active;
    for (std::uint32_t i = 0; i < Fleet().buckets; ++i) {
      if (this->bench.core().buckets().IsActive(BucketId(i))) {
        active.insert(BucketId(i));
      }
    }
    return active;
  }

  CoreBench bench;
};

// Guards against a join that makes every entry acquire all of its buckets
// again, and evict their jobs: only buckets that the joiner ranks first for are
// released.
TEST_F(ViewChangeTest, AJoinMovesOnlyTheBucketsOfTheJoiner) {
  const std::size_t before = this->ActiveBuckets().size();
  ASSERT_GT(before, 0U);
  this->Join();
  const std::size_t after = this->ActiveBuckets().size();
  EXPECT_GE(after, before / 2);
  EXPECT_GT(after, 0U);
}

// Guards against messages from every entry to every other entry and agent at
// each change of the view, which ended a fleet of 195 processes at its start.
TEST_F(ViewChangeTest, AJoinCostsNoMessagesAmongThoseThatKnowEachOther) {
  const std::set<BucketId> before = this->ActiveBuckets();
  const ViewChangeTraffic traffic = TrafficOf(this->Join());
  EXPECT_EQ(traffic.states, 0U);
  // Promises are requested for released buckets only.
  for (const BucketId kept : this->ActiveBuckets()) {
    ASSERT_TRUE(before.contains(kept));
    EXPECT_FALSE(traffic.requested_buckets.contains(kept));
  }
  // Agents of versions that do not report their view are all told.
  EXPECT_LE(traffic.views_to_agents, Fleet().agents);
}

// Guards against homes that wait for ever for the promise of an agent without
// an upstream: it has not registered, so it was not told of the view with the
// home, and never connected to it (vlc-trek-grown, trouble-1, after the loss of
// power).
TEST_F(ViewChangeTest, AnAgentThatHasNotRegisteredIsSentTheView) {
  const AgentId agent(77'000);
  this->bench.Handle(AgentConnected{agent});
  AgentHeartbeat heartbeat;
  heartbeat.epoch = this->bench.core().view().epoch;
  this->bench.Handle(AgentMessageReceived{agent, heartbeat});
  this->Join();
  this->bench.AdvanceTime(std::chrono::milliseconds(500));
  const std::vector<EntryEffect> effects =
      this->bench.Handle(AgentMessageReceived{agent, heartbeat});
  ASSERT_EQ(TrafficOf(effects).views_to_agents, 1U);
}

// The joiner needs the whole state before it may act.
TEST_F(ViewChangeTest, TheJoinerIsSentTheStateOnceItConnects) {
  this->Join();
  const ViewChangeTraffic traffic =
      TrafficOf(this->bench.Handle(PeerConnected{EntryId(9'000)}));
  EXPECT_EQ(traffic.states, 1U);
}

}  // namespace
}  // namespace dandelionspur
