#include <gtest/gtest.h>

#include <vector>

#include "libraries/entry_core/peer_directory.h"
#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

// The second of two heartbeats of a peer, and the time left to a task whose
// relay follows that heartbeat.
struct DelayCase {
  const char* name;
  // How much longer than the first heartbeat the second one was in transit,
  // judged by clocks that are not stepped.
  std::int64_t taken_longer_ms;
  // The age of the latest heartbeat of this entry that the peer had received
  // when it sent its second one.
  std::int64_t confirmation_age_ms;
  // The time left in the start that follows; 0 if the task is not started.
  std::int64_t time_left_ms;
};

class InboundDelayTest : public testing::TestWithParam<DelayCase> {};

const EntryId kPeer(2);
// The offset of the peer's clock from that of this entry.
constexpr milliseconds kClockOffset(1700);

// Guards against an entry that never catches up with its backlog: it reads
// relays late, and if it ignored the delay, it would work only on jobs whose
// callers have already been answered.
TEST_P(InboundDelayTest, RelayDelayReducesTheTimeLeft) {
  const DelayCase& tested = this->GetParam();
  EntryHarness harness(1, 1);
  harness.Handle(PeerConnected{kPeer});
  PeerHeartbeat heartbeat;
  heartbeat.sent_at = harness.now() + kClockOffset;
  heartbeat.peers.push_back({EntryId(1), harness.now(), Duration()});
  harness.Handle(PeerMessageReceived{kPeer, heartbeat});
  // 3 s exceed every difference of the delays, so that the second heartbeat is
  // sent after the first one in all cases.
  harness.Advance(std::chrono::seconds(3));
  harness.SendHeartbeat(harness.Agent(0), harness.Load(0, 0));
  heartbeat.sent_at =
      harness.now() + kClockOffset - milliseconds(tested.taken_longer_ms);
  heartbeat.peers.front().heard =
      harness.now() - milliseconds(tested.confirmation_age_ms);
  harness.Handle(PeerMessageReceived{kPeer, heartbeat});
  Relay relay;
  relay.attempt = AttemptNumber(1);
  relay.job.key = {7, 7};
  relay.job.service = ServiceName("s");
  relay.job.client_account = ClientAccount("t");
  relay.job.time_allowed = milliseconds(2000);
  relay.job.rerun = RerunPolicy::kAfterLease;
  relay.job.tasks.resize(1,
                         TaskRequest{Payload(), milliseconds(100), kOneSlot});
  const std::vector<SendToAgent> starts =
      StartsIn(harness.Handle(PeerMessageReceived{kPeer, relay}));
  ASSERT_EQ(starts.size(), tested.time_left_ms == 0 ? 0U : 1U);
  if (starts.empty()) return;
  EXPECT_EQ(std::get<Start>(starts.front().message).time_left,
            milliseconds(tested.time_left_ms));
}

INSTANTIATE_TEST_SUITE_P(
    Delays, InboundDelayTest,
    testing::Values(DelayCase{"InTime", 10, 140, 2000},
                    DelayCase{"DelayBelowTheTimeAllowed", 1200, 1300, 800},
                    DelayCase{"DelayAboveTheTimeAllowed", 2400, 2500, 0},
                    DelayCase{"OnlyThePeerIsDelayed", 0, 2400, 2000},
                    DelayCase{"ClockStepped", 2400, 20, 2000}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct PeersCase {
  const char* name;
  // How much longer than its first heartbeat the second one of each peer was in
  // transit.
  std::vector<std::int64_t> delays_ms;
  std::int64_t typical_ms;
};

class TypicalDelayTest : public testing::TestWithParam<PeersCase> {};

// Guards against entries that all refuse jobs because one peer sends late, and
// against an entry that takes jobs in although it reads all its peers late.
TEST_P(TypicalDelayTest, OneLatePeerDoesNotCount) {
  const PeersCase& tested = this->GetParam();
  PeerDirectory peers(std::chrono::seconds(1));
  const Timestamp began(std::chrono::seconds(100));
  const Timestamp later = began + std::chrono::seconds(3);
  for (std::size_t i = 0; i < tested.delays_ms.size(); ++i) {
    const EntryId peer(i + 1);
    const milliseconds delay(tested.delays_ms[i]);
    peers.Connected(peer, began);
    PeerHeartbeat heartbeat;
    heartbeat.sent_at = began;
    peers.NoteHeartbeat(peer, heartbeat, began);
    heartbeat.sent_at = later - delay;
    peers.NoteHeartbeat(peer, heartbeat, later);
    peers.NoteHeartbeatConfirmed(peer, later - delay, later);
  }
  EXPECT_EQ(peers.TypicalInboundDelay(), milliseconds(tested.typical_ms));
}

INSTANTIATE_TEST_SUITE_P(
    Peers, TypicalDelayTest,
    testing::Values(PeersCase{"NoPeer", {}, 0},
                    PeersCase{"OnePeer", {300}, 300},
                    PeersCase{"OneOfTwoIsLate", {10, 800}, 0},
                    PeersCase{"OneOfThreeIsLate", {10, 800, 20}, 0},
                    PeersCase{"MostAreLate", {10, 300, 400}, 300}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
