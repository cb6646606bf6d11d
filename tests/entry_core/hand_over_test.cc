#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

constexpr std::uint32_t kKeys = 20'000;
constexpr EntryId::ValueType kSelf = 1;
constexpr std::uint32_t kPeers = 6;

bool CarriesKeys(const EntryEffect& effect) {
  const auto* sent = std::get_if<SendToPeer>(&effect);
  return sent != nullptr && std::holds_alternative<HandOver>(sent->message);
}

// An entry that is a member of a view with six peers, which are connected and
// send heartbeats, and that knows 20,000 keys.
class HandOverTest : public testing::Test {
 protected:
  HandOverTest() : entry(Settings()), now(std::chrono::seconds(1)) {
    View view;
    for (EntryId::ValueType id = kSelf; id <= kSelf + kPeers; ++id) {
      ViewMember member;
      member.entry = EntryId(id);
      member.peer_endpoint.port = static_cast<std::uint16_t>(id);
      view = WithMember(view, member, Timestamp());
    }
    this->Handle(ViewRead{view});
    for (const EntryId peer : Peers()) this->Handle(PeerConnected{peer});
    HandOver keys;
    keys.sequence = 1;
    for (std::uint64_t i = 0; i < kKeys; ++i) {
      keys.keys.push_back(
          {JobKey{i * 0x9E3779B97F4A7C15ULL, i}, Timestamp(Duration(1))});
    }
    this->Handle(PeerMessageReceived{EntryId(kSelf + kPeers), keys});
    this->traffic.clear();
  }

  static EntryCoreSettings Settings() {
    EntryCoreSettings settings;
    settings.self = EntryId(kSelf);
    settings.bucket_count = 1024;
    return settings;
  }
  static std::vector<EntryId> Peers() {
    std::vector<EntryId> peers;
    for (std::uint32_t i = 1; i <= kPeers; ++i) peers.emplace_back(kSelf + i);
    return peers;
  }

  // Handles an event and collects the hand-over messages among the effects.
  void Handle(const EntryEvent& event) {
    for (const EntryEffect& effect : this->entry.Handle(event, this->now)) {
      if (CarriesKeys(effect)) {
        this->traffic.push_back(std::get<SendToPeer>(effect));
      }
      const auto* proposal = std::get_if<ProposeView>(&effect);
      if (proposal != nullptr) this->proposed = proposal->view;
    }
  }
  // Advances time with a tick every 50 ms and heartbeats of all peers.
  void Advance(Duration time) {
    constexpr Duration kTick = std::chrono::milliseconds(50);
    const Timestamp end = this->now + time;
    while (this->now < end) {
      this->now += kTick;
      for (const EntryId peer : Peers()) {
        PeerHeartbeat heartbeat;
        heartbeat.epoch = this->entry.view().epoch;
        heartbeat.sent_at = this->now;
        this->Handle(PeerMessageReceived{peer, heartbeat});
      }
      this->Handle(EntryTick{});
    }
  }
  // Acknowledges every message, and those sent in reaction.
  void AcknowledgeAll() {
    std::size_t next = 0;
    while (next < this->traffic.size()) {
      const SendToPeer sent = this->traffic[next++];
      HandOverReply reply;
      reply.sequence = std::get<HandOver>(sent.message).sequence;
      this->Handle(PeerMessageReceived{sent.to, reply});
    }
  }
  [[nodiscard]] std::size_t KeysSent() const {
    std::size_t keys = 0;
    for (const SendToPeer& sent : this->traffic) {
      keys += std::get<HandOver>(sent.message).keys.size();
    }
    return keys;
  }
  [[nodiscard]] std::size_t BytesSent() const {
    std::size_t bytes = 0;
    for (const SendToPeer& sent : this->traffic) {
      bytes += WireCodec::ToMessagePack(sent.message).size();
    }
    return bytes;
  }
  // The members, other than this entry, to which each key was sent.
  [[nodiscard]] std::map<JobKey, std::set<EntryId>> Holders() const {
    std::map<JobKey, std::set<EntryId>> holders;
    for (const SendToPeer& sent : this->traffic) {
      for (const KnownKey& known : std::get<HandOver>(sent.message).keys) {
        holders[known.key].insert(sent.to);
      }
    }
    return holders;
  }

  EntryCore entry;
  Timestamp now;
  // The hand-over messages sent by the entry.
  std::vector<SendToPeer> traffic;
  std::optional<View> proposed;
};

// Guards against a stop that fills the entry's link with the keys that it hands
// over, so that callers' answers wait behind them until the process ends (LOST)
// and the unsent messages use up its memory.
TEST_F(HandOverTest, UnacknowledgedKeysStayBelowATenthOfASecondOfASmallLink) {
  constexpr std::size_t kSmallLinkBytesPerSecond = 20'000'000 / 8;
  this->Handle(DrainRequested{});
  this->Advance(std::chrono::seconds(3));
  EXPECT_GT(this->BytesSent(), 0U);
  EXPECT_LT(this->BytesSent(), kSmallLinkBytesPerSecond / 10);
}

// Guards against a hand-over whose cost is the number of keys times the number
// of entries: two holders of a key are enough for every later home.
TEST_F(HandOverTest, EveryKeyIsSentToTwoMembers) {
  this->Handle(DrainRequested{});
  this->AcknowledgeAll();
  this->Advance(std::chrono::seconds(1));
  this->AcknowledgeAll();
  const std::map<JobKey, std::set<EntryId>> holders = this->Holders();
  ASSERT_EQ(holders.size(), kKeys);
  const bool all_twice =
      std::all_of(holders.begin(), holders.end(),
                  [](const auto& item) { return item.second.size() == 2; });
  EXPECT_TRUE(all_twice);
  EXPECT_EQ(this->KeysSent(), 2 * kKeys);
  ASSERT_TRUE(this->proposed);
  EXPECT_EQ(this->proposed->Find(EntryId(kSelf)), nullptr);
}

// Guards against an entry that begins its hand-over anew at each change of the
// view: several entries that stop together change it often.
TEST_F(HandOverTest, AViewChangeSendsOnlyTheKeysThatLostAHolder) {
  this->Handle(DrainRequested{});
  this->AcknowledgeAll();
  const std::map<JobKey, std::set<EntryId>> before = this->Holders();
  const EntryId gone(kSelf + 1);
  const auto lost = static_cast<std::size_t>(std::count_if(
      before.begin(), before.end(),
      [&](const auto& item) { return item.second.contains(gone); }));
  this->traffic.clear();
  this->Handle(ViewRead{WithoutMember(this->entry.view(), gone)});
  this->AcknowledgeAll();
  this->Advance(std::chrono::seconds(1));
  EXPECT_EQ(this->KeysSent(), lost);
}

// Guards against an entry that keeps sending its keys after it has left the
// view, when no home asks for its promise any more.
TEST_F(HandOverTest, NothingIsSentOnceTheEntryHasLeftTheView) {
  this->Handle(DrainRequested{});
  this->AcknowledgeAll();
  this->Handle(ViewRead{WithoutMember(this->entry.view(), EntryId(kSelf))});
  this->traffic.clear();
  this->Advance(std::chrono::seconds(2));
  EXPECT_EQ(this->BytesSent(), 0U);
}

}  // namespace
}  // namespace dandelionspur
