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
const RequestId kRequest{1};
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

// An entry that relays one job, first to its home and then, after a change of
// home, to the new one.
class RelayingEntry {
 public:
  explicit RelayingEntry(RerunPolicy rerun = RerunPolicy::kNever)
      : core(Settings()), now(std::chrono::seconds(1)) {
    this->Handle(ViewRead{ThreeEntries()});
    this->Handle(PeerConnected{EntryId(2)});
    this->Handle(PeerConnected{EntryId(3)});
    JobSubmission job;
    while (this->HomeOf(job.key) == kSelf) ++job.key.low;
    job.service = ServiceName("s");
    job.time_allowed = std::chrono::seconds(2);
    job.rerun = rerun;
    job.tasks.resize(1);
    this->key = job.key;
    this->Handle(CallerSubmitted{kRequest, job});
    this->first_home = this->last_target;
    this->first_attempt = this->last_attempt;
  }

  // Reconnects to the home. The home may still read messages of the former
  // connection.
  void Reconnect() {
    this->Handle(PeerDisconnected{this->first_home});
    this->Handle(PeerConnected{this->first_home});
    this->Handle(EntryTick{});
  }
  // The home opens a new connection to this entry.
  void HomeReconnects() {
    this->Handle(PeerLinkRenewed{this->first_home});
    this->Handle(EntryTick{});
  }
  void HomeSendsHeartbeat() {
    this->Handle(PeerMessageReceived{this->first_home, PeerHeartbeat{}});
    this->Handle(EntryTick{});
  }
  void ChangeHome() {
    const EntryId next(this->first_home == EntryId(2) ? 3 : 2);
    Ballot ballot;
    ballot.epoch = ThreeEntries().epoch;
    ballot.entry = next;
    const BucketId bucket = BucketOf(this->key, kBuckets);
    PromiseRequest request;
    request.buckets.push_back({bucket, ballot});
    this->Handle(PeerMessageReceived{next, request});
    this->Handle(EntryTick{});
  }
  void ReturnFirstRelay() {
    this->Handle(PeerMessageReceived{
        this->first_home, RelayMoved{this->key, this->first_attempt, {}}});
  }
  // The former home had started tasks for the relay.
  void ReturnFirstRelayAfterStarts() {
    this->Handle(PeerMessageReceived{
        this->first_home,
        RelayMoved{
            this->key, this->first_attempt, {}, RelayedStarts::kPossible}});
  }
  void RefuseFirstRelay() {
    this->Refuse(this->first_home, this->first_attempt);
  }
  void FirstHomeDies() { this->Handle(PeerProvenDead{this->first_home}); }
  void RefuseLastRelay() {
    this->Refuse(this->last_target, this->last_attempt);
  }

  [[nodiscard]] bool HasRelayedAgain() const {
    return this->last_attempt > this->first_attempt;
  }
  // The verdict of the last answer to the caller.
  [[nodiscard]] const std::optional<Verdict>& reported_verdict() const {
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
    // Longer than the pause before a job is relayed again after a change of
    // home.
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

struct RelayCase {
  const char* name;
  std::function<void(RelayingEntry&)> arrange;
  Verdict reported_verdict;
  RerunPolicy rerun = RerunPolicy::kNever;
};

class RelayedRefusalTest : public testing::TestWithParam<RelayCase> {};

// Guards against jobs that start after they have been refused as not run: the
// former home has not yet read the first relay, and becomes the home again.
TEST_P(RelayedRefusalTest, HoldsForAllRelays) {
  RelayingEntry entry(this->GetParam().rerun);
  this->GetParam().arrange(entry);
  ASSERT_TRUE(entry.HasRelayedAgain());
  entry.RefuseLastRelay();
  EXPECT_EQ(entry.reported_verdict(), this->GetParam().reported_verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Relays, RelayedRefusalTest,
    testing::Values(RelayCase{"FormerHomeMayStartIt",
                              [](RelayingEntry& entry) { entry.ChangeHome(); },
                              Verdict::kMayHaveRun},
                    RelayCase{"FormerHomeReturnedIt",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.ReturnFirstRelay();
                              },
                              Verdict::kNotRun},
                    RelayCase{"FormerHomeRefusedIt",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.RefuseFirstRelay();
                              },
                              Verdict::kNotRun},
                    RelayCase{"FormerHomeIsDead",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.FirstHomeDies();
                              },
                              Verdict::kNotRun},
                    RelayCase{"FormerHomeReturnedTheEarlierOfTwo",
                              [](RelayingEntry& entry) {
                                entry.Reconnect();
                                entry.ChangeHome();
                                entry.ReturnFirstRelay();
                              },
                              Verdict::kMayHaveRun},
                    RelayCase{"SameHome",
                              [](RelayingEntry& entry) { entry.Reconnect(); },
                              Verdict::kNotRun}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against jobs that are refused as not run although a former home, lost
// since, has started tasks of them: a run of a job that may run again and that
// ended without success is not reported to the new home.
INSTANTIATE_TEST_SUITE_P(
    RelaysOfJobsThatMayRunAgain, RelayedRefusalTest,
    testing::Values(RelayCase{"FormerHomeIsDead",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.FirstHomeDies();
                              },
                              Verdict::kMayHaveRun, RerunPolicy::kAfterLease},
                    RelayCase{"FormerHomeReturnedItAfterStarts",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.ReturnFirstRelayAfterStarts();
                              },
                              Verdict::kMayHaveRun, RerunPolicy::kAfterLease},
                    RelayCase{"FormerHomeReturnedItAndDied",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.ReturnFirstRelay();
                                entry.FirstHomeDies();
                              },
                              Verdict::kNotRun, RerunPolicy::kAfterLease},
                    RelayCase{"FormerHomeRefusedIt",
                              [](RelayingEntry& entry) {
                                entry.ChangeHome();
                                entry.RefuseFirstRelay();
                              },
                              Verdict::kNotRun, RerunPolicy::kAfterLease}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against answers that are lost twice: first with the home's connection
// that broke, then before its new connection could carry them.
TEST(RelayAfterRenewedLinkTest, IsSentAgainAfterAHeartbeatOfTheHome) {
  RelayingEntry entry;
  entry.HomeReconnects();
  EXPECT_FALSE(entry.HasRelayedAgain());
  entry.HomeSendsHeartbeat();
  EXPECT_TRUE(entry.HasRelayedAgain());
}

}  // namespace
}  // namespace dandelionspur
