#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "tests/support/core_bench.h"

namespace dandelionspur {
namespace {

std::optional<SendToPeer> WitnessAsked(
    const std::vector<EntryEffect>& effects) {
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent == nullptr) continue;
    if (std::holds_alternative<WitnessRequest>(sent->message)) return *sent;
  }
  return std::nullopt;
}

// What an entry answers that is about to leave the view.
std::vector<PeerMessage> AnswersOfLeavingEntry(const SendToPeer& asked) {
  EntryCoreSettings settings;
  settings.self = asked.to;
  settings.bucket_count = CoreBenchShape().buckets;
  EntryCore leaving(settings);
  const EntryId home(1);
  const Timestamp now(std::chrono::seconds(1));
  leaving.Handle(DrainRequested{}, now);
  std::vector<PeerMessage> answers;
  for (const EntryEffect& effect :
       leaving.Handle(PeerMessageReceived{home, asked.message}, now)) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent != nullptr) answers.push_back(sent->message);
  }
  return answers;
}

// A home with three other members. The job comes from an entry that does not
// witness it, so that the home asks another one.
class LeavingWitnessTest : public testing::Test {
 protected:
  LeavingWitnessTest() : bench({.agents = 1, .living_peers = 3}) {}

  std::optional<SendToPeer> Submit(std::uint64_t number) {
    Relay relay = CoreBench::RelayOf(number, 1);
    relay.witness = WitnessOffer::kNone;
    return WitnessAsked(this->bench.Handle(
        PeerMessageReceived{CoreBench::RelayingPeer(), relay}));
  }
  // Delivers what a leaving entry answers. Returns what the home asks then.
  std::optional<SendToPeer> Decline(const SendToPeer& asked) {
    std::optional<SendToPeer> next;
    for (const PeerMessage& answer : AnswersOfLeavingEntry(asked)) {
      const auto effects =
          this->bench.Handle(PeerMessageReceived{asked.to, answer});
      if (const auto request = WitnessAsked(effects)) next = request;
    }
    return next;
  }

  CoreBench bench;
};

// Guards against a job that waits for a witness until an entry has left: an
// entry that leaves declined without a word, and was asked again.
TEST_F(LeavingWitnessTest, TheNextEntryIsAskedAtOnce) {
  std::uint64_t number = 1;
  std::optional<SendToPeer> asked = this->Submit(number);
  while (!asked) asked = this->Submit(++number);
  const std::optional<SendToPeer> next = this->Decline(*asked);
  ASSERT_TRUE(next);
  EXPECT_NE(next->to, asked->to);
  const auto& before = std::get<WitnessRequest>(asked->message);
  const auto& after = std::get<WitnessRequest>(next->message);
  EXPECT_EQ(after.keys[0].known.key, before.keys[0].known.key);
}

// Guards against each further job asking the entry first that leaves.
TEST_F(LeavingWitnessTest, LaterJobsDoNotAskTheLeavingEntry) {
  std::uint64_t number = 1;
  std::optional<SendToPeer> asked = this->Submit(number);
  while (!asked) asked = this->Submit(++number);
  const EntryId leaving = asked->to;
  this->Decline(*asked);
  std::size_t requests = 0;
  for (std::uint64_t later = number + 1; later < number + 100; ++later) {
    const std::optional<SendToPeer> request = this->Submit(later);
    if (!request) continue;
    ++requests;
    EXPECT_NE(request->to, leaving);
  }
  EXPECT_GT(requests, 0U);
}

}  // namespace
}  // namespace dandelionspur
