#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "tests/support/core_bench.h"

namespace dandelionspur {
namespace {

constexpr std::uint64_t kJob = 7;

Relay AttemptAt(std::uint64_t number, Duration time_allowed) {
  Relay relay = CoreBench::RelayOf(kJob, 1);
  relay.attempt = AttemptNumber(number);
  relay.job.time_allowed = time_allowed;
  relay.job.rerun = RerunPolicy::kAfterLease;
  return relay;
}

std::size_t CountStarts(const std::vector<EntryEffect>& effects) {
  std::size_t starts = 0;
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr) continue;
    if (std::holds_alternative<Start>(sent->message)) ++starts;
  }
  return starts;
}

// Delivers the confirmations that are requested from agents in `effects`.
// Returns the verdicts that the relaying peer then receives.
std::vector<Verdict> VerdictsAfterConfirmations(
    CoreBench& bench, const std::vector<EntryEffect>& effects) {
  std::vector<Verdict> verdicts;
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr) continue;
    const auto* asked = std::get_if<ConfirmRequest>(&sent->message);
    if (asked == nullptr) continue;
    ConfirmReply reply;
    reply.sequence = asked->sequence;
    for (const BucketBallot& bucket : asked->buckets) {
      reply.confirmed.push_back(bucket.bucket);
    }
    for (const EntryEffect& answer :
         bench.Handle(AgentMessageReceived{sent->to, reply})) {
      const auto* relay_reply = std::get_if<SendToPeer>(&answer);
      if (relay_reply == nullptr) continue;
      const auto* final_answer =
          std::get_if<RelayAnswer>(&relay_reply->message);
      if (final_answer == nullptr) continue;
      verdicts.push_back(final_answer->answer.verdict);
    }
  }
  return verdicts;
}

struct LateAttempt {
  const char* name;
  std::uint64_t refused;
  std::uint64_t late;
  std::size_t starts;
};

class LateAttemptTest : public testing::TestWithParam<LateAttempt> {};

// Guards against jobs that start after they have been refused as not run: the
// first relay is read after the second one, as it was sent on a connection that
// has broken since.
TEST_P(LateAttemptTest, StartsOnlyIfSentAfterTheRefusedAttempt) {
  const LateAttempt& tested = this->GetParam();
  CoreBench bench({.agents = 2});
  bench.Handle(DocumentRead{
      {ServiceName("s"), DocumentVersion(2),
       R"({"service": "s", "owner": "o", "order": "least_slack"})"}});
  const std::vector<EntryEffect> effects = bench.Handle(PeerMessageReceived{
      CoreBench::RelayingPeer(), AttemptAt(tested.refused, Duration())});
  ASSERT_EQ(VerdictsAfterConfirmations(bench, effects),
            std::vector<Verdict>{Verdict::kNotRun});
  const std::vector<EntryEffect> later = bench.Handle(
      PeerMessageReceived{CoreBench::RelayingPeer(),
                          AttemptAt(tested.late, std::chrono::seconds(30))});
  EXPECT_EQ(CountStarts(later), tested.starts);
}

INSTANTIATE_TEST_SUITE_P(Orders, LateAttemptTest,
                         testing::Values(LateAttempt{"Earlier", 9, 8, 0},
                                         LateAttempt{"Same", 9, 9, 0},
                                         LateAttempt{"Later", 9, 10, 1}),
                         [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
