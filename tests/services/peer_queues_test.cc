#include "services/entry/peer_queues.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

constexpr std::uint64_t kKilobyte = 1000;
// 300 ms of this link are 1,500 KB.
constexpr std::uint64_t kLink = 5000 * kKilobyte;
const EntryId kSlow(7);
const EntryId kFast(8);

struct QueueCase {
  const char* name;
  // What is unsent to the slow peer, one value a tick.
  std::vector<std::uint64_t> unsent_kilobytes;
  QueueState expected;
  std::size_t changes;
};

class PeerQueuesTest : public testing::TestWithParam<QueueCase> {};

// Guards against an entry that is killed for its memory because it queues
// relays without bound for a peer that reads slowly.
TEST_P(PeerQueuesTest, BoundsWhatIsQueuedForASlowPeer) {
  const QueueCase& tested = this->GetParam();
  PeerQueues queues(kLink);
  std::size_t changes = 0;
  for (const std::uint64_t unsent : tested.unsent_kilobytes) {
    changes += queues.Note({{kSlow, unsent * kKilobyte}, {kFast, 0}}).size();
  }
  EXPECT_EQ(queues.IsFull(kSlow), tested.expected == QueueState::kFull);
  EXPECT_FALSE(queues.IsFull(kFast));
  EXPECT_EQ(changes, tested.changes);
}

INSTANTIATE_TEST_SUITE_P(
    Queues, PeerQueuesTest,
    testing::Values(
        QueueCase{"Short", {0, 400, 1500}, QueueState::kHasRoom, 0},
        QueueCase{"Full", {400, 1501}, QueueState::kFull, 1},
        QueueCase{"StaysFullAboveHalf", {1501, 751}, QueueState::kFull, 1},
        QueueCase{"HasRoomBelowHalf", {1501, 750}, QueueState::kHasRoom, 2},
        QueueCase{"OneLineWhileItFluctuates",
                  {1600, 1400, 1600, 1000},
                  QueueState::kFull,
                  1}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a peer that gets no relays after it has reconnected.
TEST(PeerQueuesTest, ForgetsPeersThatAreNotConnected) {
  PeerQueues queues(kLink);
  queues.Note({{kSlow, 2000 * kKilobyte}});
  ASSERT_TRUE(queues.IsFull(kSlow));
  queues.Note({{kFast, 0}});
  EXPECT_FALSE(queues.IsFull(kSlow));
}

}  // namespace
}  // namespace dandelionspur
