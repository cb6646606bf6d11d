#include "libraries/entry_core/promise_requests.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

constexpr std::uint32_t kKeys = 20'000;
constexpr std::uint32_t kBuckets = 1024;
constexpr EntryId::ValueType kTaker = 7;
constexpr std::uint32_t kOthers = 6;

EntryCoreSettings SettingsOf(EntryId self) {
  EntryCoreSettings settings;
  settings.self = self;
  settings.bucket_count = kBuckets;
  return settings;
}

std::vector<EntryId> Others() {
  std::vector<EntryId> others;
  for (std::uint32_t i = 1; i <= kOthers; ++i) others.emplace_back(i);
  return others;
}

View ViewOfAll() {
  View view;
  for (EntryId::ValueType id = 1; id <= kTaker; ++id) {
    ViewMember member;
    member.entry = EntryId(id);
    member.peer_endpoint.port = static_cast<std::uint16_t>(id);
    view = WithMember(view, member, Timestamp());
  }
  return view;
}

// Keys of buckets for which the taker ranks first.
std::vector<KnownKey> KeysOfTaker(const View& view) {
  std::vector<bool> is_takers;
  for (std::uint32_t i = 0; i < kBuckets; ++i) {
    is_takers.push_back(view.Ranking(BucketId(i)).front() == EntryId(kTaker));
  }
  std::vector<KnownKey> keys;
  for (std::uint64_t i = 0; keys.size() < kKeys; ++i) {
    const JobKey key{i * 0x9E3779B97F4A7C15ULL, i};
    if (!is_takers[BucketOf(key, kBuckets).value()]) continue;
    keys.push_back({key, Timestamp(Duration(1))});
  }
  return keys;
}

// An entry that acquires buckets of which each of six other members knows
// 20,000 keys. What these send to it arrives after a delay.
class PromiseRequestsTest : public testing::Test {
 protected:
  PromiseRequestsTest()
      : taker(SettingsOf(EntryId(kTaker))), now(std::chrono::seconds(1)) {
    const View view = ViewOfAll();
    HandOver keys;
    keys.sequence = 1;
    keys.keys = KeysOfTaker(view);
    for (const EntryId other : Others()) {
      this->others[other] = std::make_unique<EntryCore>(SettingsOf(other));
      EntryCore& core = *this->others[other];
      core.Handle(PeerMessageReceived{EntryId(kTaker), keys}, this->now);
      core.Handle(PeerConnected{EntryId(kTaker)}, this->now);
    }
    for (const EntryId other : Others()) this->Handle(PeerConnected{other});
    this->Handle(ViewRead{view});
  }

  // Handles an event at the taker. The others answer its requests at once.
  void Handle(const EntryEvent& event) {
    for (const EntryEffect& effect : this->taker.Handle(event, this->now)) {
      const auto* changed = std::get_if<OwnershipChanged>(&effect);
      const bool is_active =
          changed != nullptr && changed->phase == OwnershipPhase::kActive;
      if (is_active) this->activated += changed->buckets.size();
      const auto* sent = std::get_if<SendToPeer>(&effect);
      if (sent == nullptr) continue;
      if (!std::holds_alternative<PromiseRequest>(sent->message)) continue;
      this->Ask(*sent);
    }
  }
  void Ask(const SendToPeer& request) {
    const std::size_t unanswered = ++this->under_way[request.to];
    this->most_under_way = std::max(this->most_under_way, unanswered);
    EntryCore& other = *this->others.at(request.to);
    for (const EntryEffect& effect :
         other.Handle(PeerMessageReceived{EntryId(kTaker), request.message},
                      this->now)) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      if (sent == nullptr) continue;
      const auto* reply = std::get_if<PromiseReply>(&sent->message);
      if (reply == nullptr) continue;
      this->Count(*reply);
      this->replies.push_back({this->now + this->delay, {request.to, *reply}});
    }
  }
  void Count(const PromiseReply& reply) {
    std::size_t keys = 0;
    for (const BucketPromise& bucket : reply.buckets) {
      keys += bucket.known.size();
    }
    this->keys_sent += keys;
    this->most_keys = std::max(this->most_keys, keys);
    const std::size_t bytes =
        WireCodec::ToMessagePack(PeerMessage(reply)).size();
    this->most_bytes = std::max(this->most_bytes, bytes);
  }
  // Advances time with a tick every 50 ms and heartbeats of all others.
  void Advance(Duration time) {
    constexpr Duration kTick = std::chrono::milliseconds(50);
    const Timestamp end = this->now + time;
    while (this->now < end) {
      this->now += kTick;
      this->Deliver();
      for (const EntryId other : Others()) {
        PeerHeartbeat heartbeat;
        heartbeat.epoch = this->taker.view().epoch;
        heartbeat.sent_at = this->now;
        this->Handle(PeerMessageReceived{other, heartbeat});
      }
      this->Handle(EntryTick{});
    }
  }

  // The peer confirms that it has read everything that was sent up to `heard`.
  void Confirm(EntryId peer, Timestamp heard) {
    PeerHeartbeat heartbeat;
    heartbeat.epoch = this->taker.view().epoch;
    heartbeat.sent_at = this->now;
    heartbeat.peers.push_back({EntryId(kTaker), heard, Duration()});
    this->Handle(PeerMessageReceived{peer, heartbeat});
  }

  struct Delayed {
    Timestamp arrives;
    PeerMessageReceived reply;
  };

  void Deliver() {
    while (!this->replies.empty() &&
           this->replies.front().arrives <= this->now) {
      const Delayed next = this->replies.front();
      this->replies.pop_front();
      --this->under_way[next.reply.from];
      this->Handle(next.reply);
    }
  }

  EntryCore taker;
  std::map<EntryId, std::unique_ptr<EntryCore>> others;
  Timestamp now;
  Duration delay = std::chrono::milliseconds(300);
  std::deque<Delayed> replies;
  std::map<EntryId, std::size_t> under_way;
  std::size_t most_under_way = 0;
  std::size_t keys_sent = 0;
  std::size_t most_keys = 0;
  std::size_t most_bytes = 0;
  std::size_t activated = 0;
};

// Guards against promise requests that are repeated while their answers wait
// behind other bytes: each answer then comes several times, with all keys, and
// fills the links of the members that stay (LOST).
TEST_F(PromiseRequestsTest, EachMemberSendsEachKeyOnce) {
  this->Advance(std::chrono::seconds(20));
  EXPECT_GT(this->activated, 0U);
  EXPECT_EQ(this->keys_sent, kOthers * kKeys);
}

struct LossCase {
  const char* name;
  bool renews_link;
  bool confirms_later_heartbeat;
  std::size_t repeated;
};

class LostReplyTest : public PromiseRequestsTest,
                      public testing::WithParamInterface<LossCase> {};

// Guards against an acquisition that waits for ever for a reply that was lost
// with a connection, and against one that takes a slow reply for lost.
TEST_P(LostReplyTest, ARequestIsRepeatedOnlyIfItsReplyIsLost) {
  const LossCase& tested = this->GetParam();
  const EntryId peer(1);
  this->replies.clear();
  this->delay = std::chrono::hours(1);
  this->Advance(std::chrono::milliseconds(500));
  if (tested.renews_link) this->Handle(PeerLinkRenewed{peer});
  if (tested.confirms_later_heartbeat) this->Confirm(peer, this->now);
  this->Advance(std::chrono::milliseconds(500));
  EXPECT_EQ(this->under_way[peer], 1 + tested.repeated);
}

INSTANTIATE_TEST_SUITE_P(Causes, LostReplyTest,
                         testing::Values(LossCase{"Slow", false, false, 0},
                                         LossCase{"Renewed", true, false, 1},
                                         LossCase{"Confirmed", false, true, 1}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against jobs that wait for ever for an agent whose reply was lost
// while its connection stayed open, as versions lose it that read a request
// before the event of its connection.
TEST_F(PromiseRequestsTest, AnAgentThatDoesNotAnswerIsAskedAgain) {
  const AgentId agent(50);
  std::size_t requests = 0;
  const auto count = [&](const EntryEvent& event) {
    for (const EntryEffect& effect : this->taker.Handle(event, this->now)) {
      const auto* sent = std::get_if<SendToAgent>(&effect);
      const bool asks = sent != nullptr && sent->to == agent &&
                        std::holds_alternative<PromiseRequest>(sent->message);
      if (asks) ++requests;
    }
  };
  count(AgentConnected{agent});
  for (int tick = 0; tick < 40; ++tick) {
    this->now += std::chrono::milliseconds(50);
    count(EntryTick{});
  }
  EXPECT_GE(requests, 3U);
  EXPECT_LE(requests, 5U);
}

struct PartCase {
  const char* name;
  // Of each part, the key after which it begins and the one with which it ends;
  // 0: at the beginning or end of the list.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> parts;
  PartUse last_use;
};

class PromisePartTest : public testing::TestWithParam<PartCase> {};

// Guards against a promise that counts although some keys of its bucket have
// not arrived: the home would take them for new, and start them twice.
TEST_P(PromisePartTest, CountsOnlyOnceEveryKeyHasArrived) {
  const EntryId responder(1);
  const BucketBallot bucket{BucketId(3), {Epoch(2), 0, EntryId(2)}};
  PromiseRequests<EntryId> requests;
  PartUse use = PartUse::kNone;
  for (const auto& [after, last] : this->GetParam().parts) {
    ListedPart part{bucket, std::nullopt, std::nullopt};
    if (after > 0) part.after = JobKey{0, after};
    if (last > 0) part.resume_after = JobKey{0, last};
    use = requests.Add(responder, part);
  }
  EXPECT_EQ(use, this->GetParam().last_use);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, PromisePartTest,
    testing::Values(
        PartCase{"Whole", {{0, 0}}, PartUse::kCompletes},
        PartCase{"First", {{0, 5}}, PartUse::kContinues},
        PartCase{"InOrder", {{0, 5}, {5, 9}, {9, 0}}, PartUse::kCompletes},
        PartCase{"OneMissing", {{0, 5}, {9, 0}}, PartUse::kNone},
        PartCase{"OnlyTheLast", {{9, 0}}, PartUse::kNone},
        PartCase{"Duplicate", {{0, 5}, {5, 9}, {5, 9}}, PartUse::kNone},
        PartCase{"FirstAgain", {{0, 5}, {5, 9}, {0, 5}}, PartUse::kNone},
        PartCase{"WholeAfterAll", {{0, 5}, {0, 0}}, PartUse::kCompletes}),
    [](const auto& tested) { return tested.param.name; });

// Guards against parts of an earlier acquisition that complete the list of a
// later one, whose first keys have never arrived.
TEST(PromiseRequestsOrderTest, PartsOfAnEarlierBallotDoNotCount) {
  const EntryId responder(1);
  const BucketBallot earlier{BucketId(3), {Epoch(2), 0, EntryId(2)}};
  const BucketBallot later{BucketId(3), {Epoch(3), 0, EntryId(2)}};
  PromiseRequests<EntryId> requests;
  ASSERT_EQ(requests.Add(responder, {earlier, std::nullopt, JobKey{0, 5}}),
            PartUse::kContinues);
  EXPECT_EQ(requests.Add(responder, {later, JobKey{0, 5}, std::nullopt}),
            PartUse::kNone);
  const PromiseRequest request =
      requests.Begin(responder, {later}, 64, Timestamp());
  EXPECT_FALSE(request.after);
}

// Guards against an entry of an earlier version that never gets the rest of a
// list, since it neither limits replies nor asks for further ones.
TEST_F(PromiseRequestsTest, ARequestWithoutALimitIsAnsweredWithAllKeys) {
  const View view = ViewOfAll();
  PromiseRequest request;
  for (std::uint32_t i = 0; i < kBuckets; ++i) {
    const Ballot ballot{Epoch(view.epoch.value() + 1), 0, EntryId(kTaker)};
    request.buckets.push_back({BucketId(i), ballot});
  }
  this->keys_sent = 0;
  this->Ask({EntryId(1), request});
  EXPECT_EQ(this->keys_sent, kKeys);
}

// Guards against heartbeats that wait behind the keys of a whole acquisition.
TEST_F(PromiseRequestsTest, AMemberSendsOneSmallMessageAtATime) {
  constexpr std::size_t kFiftiethOfASecondOfASmallLink = 20'000'000 / 8 / 50;
  this->Advance(std::chrono::seconds(20));
  EXPECT_EQ(this->most_under_way, 1U);
  EXPECT_LE(this->most_keys, 1024U);
  EXPECT_LT(this->most_bytes, kFiftiethOfASecondOfASmallLink);
}

}  // namespace
}  // namespace dandelionspur
