#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {
namespace {

const EntryId kSelf{1};
const RequestId kCaller{1};
constexpr std::uint32_t kBuckets = 8;

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

EntryCoreSettings Settings() {
  EntryCoreSettings settings;
  settings.self = kSelf;
  settings.bucket_count = kBuckets;
  return settings;
}

// An entry that relays one job, first to one home and then, after a change of
// home, to the other entry.
class RelayingEntry {
 public:
  RelayingEntry() : core(Settings()), now(std::chrono::seconds(1)) {
    this->Handle(ViewRead{ThreeEntries()});
    this->Handle(PeerConnected{EntryId(2)});
    this->Handle(PeerConnected{EntryId(3)});
    JobSubmission job;
    while (this->HomeOf(job.key) == kSelf) ++job.key.low;
    job.service = ServiceName("s");
    job.time_allowed = std::chrono::seconds(2);
    job.tasks.resize(1);
    this->key = job.key;
    this->Handle(CallerSubmitted{kCaller, job});
    this->first_home = this->last_target;
    this->first_attempt = this->last_attempt;
  }

  // The home is reached by a new connection; what the old one carried may
  // still be read.
  void Reconnect() {
    this->Handle(PeerDisconnected{this->first_home});
    this->Handle(PeerConnected{this->first_home});
    this->Handle(EntryTick{});
  }
  // The home has dialed this entry anew.
  void HomeDialsAnew() {
    this->Handle(PeerLinkRenewed{this->first_home});
    this->Handle(EntryTick{});
  }
  void HomeSpeaks() {
    this->Handle(PeerMessageReceived{this->first_home, PeerHeartbeat{}});
    this->Handle(EntryTick{});
  }
  void MoveHome() {
    const EntryId next(this->first_home == EntryId(2) ? 3 : 2);
    Ballot ballot;
    ballot.epoch = ThreeEntries().epoch;
    ballot.entry = next;
    const BucketId bucket = BucketOf(this->key, kBuckets);
    this->Handle(PeerMessageReceived{next, PromiseRequest{{{bucket, ballot}}}});
    this->Handle(EntryTick{});
  }
  void ReturnFirst() {
    this->Handle(PeerMessageReceived{
        this->first_home, RelayMoved{this->key, this->first_attempt, {}}});
  }
  void RefuseFirst() { this->Refuse(this->first_home, this->first_attempt); }
  void FirstDies() { this->Handle(PeerProvenDead{this->first_home}); }
  void RefuseLast() { this->Refuse(this->last_target, this->last_attempt); }

  [[nodiscard]] bool HasRelayedAgain() const {
    return this->last_attempt > this->first_attempt;
  }
  // What the caller was told.
  [[nodiscard]] const std::optional<Verdict>& told() const {
    return this->verdict;
  }

 private:
  [[nodiscard]] static EntryId HomeOf(const JobKey& key) {
    return ThreeEntries().Ranking(BucketOf(key, kBuckets)).front();
  }
  void Refuse(EntryId from, AttemptNumber attempt) {
    JobAnswer answer;
    answer.verdict = Verdict::kNotRun;
    answer.reason = Reason::kQueueFull;
    this->Handle(
        PeerMessageReceived{from, RelayAnswer{this->key, attempt, {}, answer}});
  }
  void Handle(const EntryEvent& event) {
    // More than the pause before a job follows its home.
    this->now += std::chrono::milliseconds(30);
    for (const EntryEffect& effect : this->core.Handle(event, this->now)) {
      if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        this->verdict = answer->answer.verdict;
      }
      const auto* sent = std::get_if<SendToPeer>(&effect);
      if (sent == nullptr) continue;
      const auto* relay = std::get_if<Relay>(&sent->message);
      if (relay == nullptr) continue;
      this->last_target = sent->to;
      this->last_attempt = relay->attempt;
    }
  }

  EntryCore core;
  Timestamp now;
  JobKey key;
  EntryId first_home;
  AttemptNumber first_attempt;
  EntryId last_target;
  AttemptNumber last_attempt;
  std::optional<Verdict> verdict;
};

struct RefusedRelay {
  const char* name;
  std::function<void(RelayingEntry&)> happens;
  Verdict told;
};

class RelayedRefusalTest : public testing::TestWithParam<RefusedRelay> {};

// Guards against "not run" being said of a job that starts afterwards: its
// former home has not read the first relay yet, and becomes the home again.
TEST_P(RelayedRefusalTest, IsTrueOfAllRelays) {
  RelayingEntry entry;
  this->GetParam().happens(entry);
  ASSERT_TRUE(entry.HasRelayedAgain());
  entry.RefuseLast();
  EXPECT_EQ(entry.told(), this->GetParam().told);
}

INSTANTIATE_TEST_SUITE_P(
    Relays, RelayedRefusalTest,
    testing::Values(RefusedRelay{"FormerHomeMayAct",
                                 [](RelayingEntry& entry) { entry.MoveHome(); },
                                 Verdict::kMayHaveRun},
                    RefusedRelay{"FormerHomeReturnedIt",
                                 [](RelayingEntry& entry) {
                                   entry.MoveHome();
                                   entry.ReturnFirst();
                                 },
                                 Verdict::kNotRun},
                    RefusedRelay{"FormerHomeRefusedIt",
                                 [](RelayingEntry& entry) {
                                   entry.MoveHome();
                                   entry.RefuseFirst();
                                 },
                                 Verdict::kNotRun},
                    RefusedRelay{"FormerHomeIsDead",
                                 [](RelayingEntry& entry) {
                                   entry.MoveHome();
                                   entry.FirstDies();
                                 },
                                 Verdict::kNotRun},
                    RefusedRelay{"FormerHomeReturnedTheEarlierOfTwo",
                                 [](RelayingEntry& entry) {
                                   entry.Reconnect();
                                   entry.MoveHome();
                                   entry.ReturnFirst();
                                 },
                                 Verdict::kMayHaveRun},
                    RefusedRelay{
                        "SameHome",
                        [](RelayingEntry& entry) { entry.Reconnect(); },
                        Verdict::kNotRun}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against answers that are lost twice: with the home's connection that
// broke, and while its new one was not ready to carry them.
TEST(RelayAfterRenewedLinkTest, IsSentAgainOnceTheHomeCanAnswer) {
  RelayingEntry entry;
  entry.HomeDialsAnew();
  EXPECT_FALSE(entry.HasRelayedAgain());
  entry.HomeSpeaks();
  EXPECT_TRUE(entry.HasRelayedAgain());
}

}  // namespace
}  // namespace dandelionspur
