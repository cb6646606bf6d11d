#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const EntryId kSelf(1);
const EntryId kHome(2);
const EntryId kThird(3);
const BucketId kBucket(0);
constexpr JobKey kKey{7, 7};
const RequestId kRequest(5);
constexpr Duration kTick = milliseconds(50);

std::vector<SendToPeer> CancelsIn(const std::vector<EntryEffect>& effects) {
  std::vector<SendToPeer> cancels;
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent == nullptr) continue;
    if (!std::holds_alternative<CancelJob>(sent->message)) continue;
    cancels.push_back(*sent);
  }
  return cancels;
}

std::vector<CancelOutcome> OutcomesIn(const std::vector<EntryEffect>& effects) {
  std::vector<CancelOutcome> outcomes;
  for (const EntryEffect& effect : effects) {
    const auto* answer = std::get_if<CancelAnswered>(&effect);
    if (answer != nullptr) outcomes.push_back(answer->outcome);
  }
  return outcomes;
}

// Whether the effects ask the entry to record the cancelling.
bool Asks(const std::vector<EntryEffect>& effects, EntryId entry) {
  for (const SendToPeer& sent : CancelsIn(effects)) {
    const CancelJob& cancel = std::get<CancelJob>(sent.message);
    const bool is_request =
        sent.to == entry && cancel.step == CancelStep::kRequested;
    if (is_request) return true;
  }
  return false;
}

// An entry in a view of three. Another one is home of the only bucket.
class CancellationTest : public testing::Test {
 protected:
  CancellationTest() : entry(Settings()), now(std::chrono::seconds(1000)) {
    for (const EntryId id : {kSelf, kHome, kThird}) {
      ViewMember member;
      member.entry = id;
      member.peer_endpoint.port = static_cast<std::uint16_t>(id.value());
      this->view = WithMember(this->view, member, Timestamp());
    }
    this->Handle(ViewRead{this->view});
    this->Handle(PeerConnected{kHome});
    this->Handle(PeerConnected{kThird});
    this->Acquire(kHome, 1);
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
  std::vector<EntryEffect> Deliver(EntryId from, const PeerMessage& message) {
    return this->Handle(PeerMessageReceived{from, message});
  }
  [[nodiscard]] Ballot BallotOf(EntryId home, std::uint32_t round) const {
    return {this->view.epoch, round, home};
  }
  // The entry becomes home of the bucket.
  void Acquire(EntryId home, std::uint32_t round) {
    PromiseRequest request;
    request.buckets.push_back({kBucket, this->BallotOf(home, round)});
    this->Deliver(home, request);
  }
  std::vector<EntryEffect> Cancel() {
    return this->Handle(CallerCancelled{kKey, kRequest});
  }
  std::vector<EntryEffect> Confirm(EntryId from, const Ballot& promised) {
    return this->Deliver(from,
                         CancelJob{kKey, promised, CancelStep::kConfirmed});
  }
  // Advances time while the two other entries are heard.
  std::vector<EntryEffect> Advance(Duration step) {
    std::vector<EntryEffect> all;
    for (Duration passed{}; passed < step; passed += kTick) {
      this->now += kTick;
      for (const EntryId peer : {kHome, kThird}) {
        PeerHeartbeat heartbeat;
        heartbeat.epoch = this->view.epoch;
        heartbeat.sent_at = this->now;
        this->Deliver(peer, heartbeat);
      }
      for (EntryEffect& effect : this->Handle(EntryTick{})) {
        all.push_back(std::move(effect));
      }
    }
    return all;
  }

  View view;
  EntryCore entry;
  Timestamp now;
};

// Guards against a cancelling that is acknowledged before any other entry knows
// of it, and is lost with the message to the home.
TEST_F(CancellationTest, IsAcknowledgedOnceTheHomeKnows) {
  const std::vector<EntryEffect> effects = this->Cancel();
  EXPECT_TRUE(OutcomesIn(effects).empty());
  EXPECT_TRUE(Asks(effects, kHome));
  EXPECT_EQ(OutcomesIn(this->Confirm(kHome, this->BallotOf(kHome, 1))),
            std::vector<CancelOutcome>{CancelOutcome::kHolds});
  EXPECT_TRUE(CancelsIn(this->Advance(std::chrono::seconds(5))).empty());
}

// Guards against a cancelling that is acknowledged by entries that are cut off
// together from all agents, and against one that is forgotten with the entries.
TEST_F(CancellationTest, IsAcknowledgedOnceTheAgentsKnow) {
  const AgentId agent(1000);
  this->Handle(AgentConnected{agent});
  this->Cancel();
  EXPECT_TRUE(
      OutcomesIn(this->Confirm(kHome, this->BallotOf(kHome, 1))).empty());
  RenounceReply reply;
  reply.report.task = {kKey, TaskIndex(0)};
  EXPECT_TRUE(
      OutcomesIn(this->Handle(AgentMessageReceived{agent, reply})).empty());
  reply.cancelled = true;
  EXPECT_EQ(OutcomesIn(this->Handle(AgentMessageReceived{agent, reply})),
            std::vector<CancelOutcome>{CancelOutcome::kHolds});
}

TEST_F(CancellationTest, IsNotConfirmedWhileNoAgentIsHeard) {
  this->Handle(AgentConnected{AgentId(1000)});
  this->Advance(std::chrono::seconds(2));
  this->Cancel();
  this->Confirm(kHome, this->BallotOf(kHome, 1));
  EXPECT_EQ(OutcomesIn(this->Advance(std::chrono::seconds(3))),
            std::vector<CancelOutcome>{CancelOutcome::kNotConfirmed});
}

// Guards against a repeated cancelling that is acknowledged since an entry
// knows of it that has ended: seed 687 of the cluster fuzzer.
TEST_F(CancellationTest, IsConfirmedAnewWhenItIsRepeated) {
  this->Cancel();
  this->Confirm(kHome, this->BallotOf(kHome, 1));
  const std::vector<EntryEffect> effects = this->Cancel();
  EXPECT_TRUE(OutcomesIn(effects).empty());
  EXPECT_TRUE(Asks(effects, kHome));
}

// Guards against a cancelling that can't be acknowledged while the home stands
// still, and is lost with it.
TEST_F(CancellationTest, IsAcknowledgedOnceTwoEntriesKnowThatRepeatIt) {
  this->Cancel();
  EXPECT_TRUE(Asks(this->Advance(milliseconds(600)), kThird));
  EXPECT_EQ(OutcomesIn(this->Confirm(kThird, this->BallotOf(kHome, 1))),
            std::vector<CancelOutcome>{CancelOutcome::kHolds});
  EXPECT_TRUE(Asks(this->Advance(std::chrono::seconds(3)), kHome));
}

// Guards against a new home that starts a cancelled job, since only the former
// one was told.
TEST_F(CancellationTest, IsToldToEachLaterHomeUntilItConfirms) {
  this->Cancel();
  this->Confirm(kHome, this->BallotOf(kHome, 1));
  this->Acquire(kThird, 2);
  EXPECT_TRUE(Asks(this->Advance(milliseconds(300)), kThird));
  EXPECT_TRUE(Asks(this->Advance(std::chrono::seconds(3)), kThird));
  // Confirmed before it was home.
  this->Confirm(kThird, this->BallotOf(kHome, 1));
  EXPECT_TRUE(Asks(this->Advance(std::chrono::seconds(3)), kThird));
  this->Confirm(kThird, this->BallotOf(kThird, 2));
  EXPECT_TRUE(CancelsIn(this->Advance(std::chrono::seconds(5))).empty());
}

// Guards against a caller that waits for ever, or is told that a cancelling
// holds which nobody else knows of.
TEST_F(CancellationTest, IsAnsweredAsNotConfirmedIfNobodyConfirms) {
  this->Cancel();
  EXPECT_EQ(OutcomesIn(this->Advance(std::chrono::seconds(4))),
            std::vector<CancelOutcome>{CancelOutcome::kNotConfirmed});
  // It was told nevertheless, and may be repeated.
  EXPECT_TRUE(OutcomesIn(this->Cancel()).empty());
  EXPECT_EQ(OutcomesIn(this->Confirm(kHome, this->BallotOf(kHome, 1))),
            std::vector<CancelOutcome>{CancelOutcome::kHolds});
}

// Guards against an entry that learns of a cancelling as the second one, and
// lets it end with the first one.
TEST_F(CancellationTest, IsRepeatedByTheEntryThatWasAskedToRecordIt) {
  const std::vector<EntryEffect> effects = this->Deliver(
      kThird,
      CancelJob{kKey, this->BallotOf(kHome, 1), CancelStep::kRequested});
  const std::vector<SendToPeer> sent = CancelsIn(effects);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].to, kThird);
  EXPECT_EQ(std::get<CancelJob>(sent[0].message).step, CancelStep::kConfirmed);
  EXPECT_TRUE(Asks(this->Advance(milliseconds(300)), kHome));
}

// Guards against an entry of an earlier version that takes a confirmation for
// another cancelling.
TEST_F(CancellationTest, IsNotConfirmedToAnEarlierVersion) {
  EXPECT_TRUE(CancelsIn(this->Deliver(kThird, CancelJob{kKey})).empty());
}

std::size_t StopsIn(const std::vector<EntryEffect>& effects) {
  std::size_t stops = 0;
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr) continue;
    const auto* stop = std::get_if<StopTask>(&sent->message);
    if (stop == nullptr) continue;
    EXPECT_EQ(stop->ballot.entry, EntryId(1));
    ++stops;
  }
  return stops;
}

struct StopRepeatCase {
  std::string name;
  StartedState state;
  bool repeats;
};

class StopRepeatTest : public testing::TestWithParam<StopRepeatCase> {};

// Guards against a task of a cancelled job that runs on, since the stop order
// of a former home or the only one of this home was lost.
TEST_P(StopRepeatTest, UntilTheAgentSaysThatTheTaskIsGone) {
  constexpr std::uint64_t kJob = 7;
  // A former home has started the first task there.
  EntryHarness home(1, 2, kJob);
  home.Handle(CallerCancelled{HarnessKey(kJob)});
  EXPECT_GT(StopsIn(home.Advance(milliseconds(300))), 0U);
  EXPECT_GT(StopsIn(home.Advance(milliseconds(300))), 0U);
  RenounceReply reply;
  reply.report.task = {HarnessKey(kJob), TaskIndex(0)};
  reply.report.state = this->GetParam().state;
  home.Handle(AgentMessageReceived{home.Agent(0), reply});
  EXPECT_EQ(StopsIn(home.Advance(milliseconds(600))) > 0,
            this->GetParam().repeats);
}

INSTANTIATE_TEST_SUITE_P(
    Reports, StopRepeatTest,
    testing::Values(StopRepeatCase{"Running", StartedState::kRunning, true},
                    StopRepeatCase{"Ended", StartedState::kFinished, false},
                    StopRepeatCase{"NeverStarted", StartedState::kNeverStarted,
                                   false}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
