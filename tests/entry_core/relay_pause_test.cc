#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const EntryId kSelf(1);
const EntryId kHome(2);
constexpr std::uint32_t kBuckets = 8;
constexpr std::size_t kBodyBytes = 10'000;

View ThreeEntries() {
  View view;
  for (const EntryId::ValueType id : {1, 2, 3}) {
    ViewMember member;
    member.entry = EntryId(id);
    member.peer_endpoint.port = static_cast<std::uint16_t>(id);
    view = WithMember(view, member, Timestamp());
  }
  return view;
}

// An entry that relays a job to an entry that does not take itself for the
// job's home, and returns every relay at once.
class RelayPauseTest : public testing::Test {
 protected:
  RelayPauseTest() : core(Settings()), now(std::chrono::seconds(1)) {
    this->Handle(ViewRead{ThreeEntries()});
    this->Handle(PeerConnected{kHome});
    this->Handle(PeerConnected{EntryId(3)});
    JobSubmission job;
    while (HomeOf(job.key) != kHome) ++job.key.high;
    job.service = ServiceName("s");
    job.time_allowed = std::chrono::seconds(4);
    job.tasks.resize(1);
    job.tasks[0].body = Payload::FromBytes(std::string(kBodyBytes, 'x'));
    this->key = job.key;
    this->Handle(CallerSubmitted{RequestId(1), job});
  }

  static EntryCoreSettings Settings() {
    EntryCoreSettings settings;
    settings.self = kSelf;
    settings.bucket_count = kBuckets;
    return settings;
  }
  static EntryId HomeOf(const JobKey& key) {
    return ThreeEntries().Ranking(BucketOf(key, kBuckets)).front();
  }
  void Handle(const EntryEvent& event) {
    std::vector<EntryEvent> replies;
    for (const EntryEffect& effect : this->core.Handle(event, this->now)) {
      const auto* sent = std::get_if<SendToPeer>(&effect);
      if (sent == nullptr) continue;
      const auto* relay = std::get_if<Relay>(&sent->message);
      if (relay == nullptr) continue;
      this->bytes += WireCodec::ToMessagePack(sent->message).size();
      this->target = sent->to;
      replies.emplace_back(PeerMessageReceived{
          sent->to, RelayMoved{this->key, relay->attempt, {}}});
    }
    for (const EntryEvent& reply : replies) this->Handle(reply);
  }
  void Advance(Duration time) {
    constexpr Duration kTick = milliseconds(10);
    const Timestamp end = this->now + time;
    while (this->now < end) {
      this->now += kTick;
      for (const EntryId peer : {kHome, EntryId(3)}) {
        PeerHeartbeat heartbeat;
        heartbeat.epoch = this->core.view().epoch;
        heartbeat.sent_at = this->now;
        this->Handle(PeerMessageReceived{peer, heartbeat});
      }
      this->Handle(EntryTick{});
    }
  }

  EntryCore core;
  Timestamp now;
  JobKey key;
  std::size_t bytes = 0;
  EntryId target;
};

// Guards against relays that go to and fro at the pace of the link while two
// entries have different views of the home, and fill it.
TEST_F(RelayPauseTest, AJobThatIsReturnedAgainAndAgainIsSentEverMoreRarely) {
  constexpr std::size_t kRelaysInTwoSeconds = 12;
  this->Advance(std::chrono::seconds(2));
  EXPECT_GT(this->bytes, 4 * kBodyBytes);
  EXPECT_LT(this->bytes, kRelaysInTwoSeconds * kBodyBytes);
}

// Guards against a job that keeps waiting although its home is known by then.
TEST_F(RelayPauseTest, AChangeOfTheHomeEndsThePause) {
  this->Advance(milliseconds(1500));
  this->bytes = 0;
  this->Handle(ViewRead{WithoutMember(ThreeEntries(), kHome)});
  if (this->core.view().Ranking(BucketOf(this->key, kBuckets)).front() ==
      kSelf) {
    GTEST_FAIL() << "the job must have another home than this entry";
  }
  this->Advance(milliseconds(30));
  EXPECT_EQ(this->target, EntryId(3));
  EXPECT_GT(this->bytes, 0U);
}

}  // namespace
}  // namespace dandelionspur
