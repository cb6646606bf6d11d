#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::seconds;

// How an entry that is stopping came out of the view.
struct DepartureCase {
  std::string name;
  // In the view that lacks the entry.
  std::vector<EntryLoss> losses;
  // Whether the member of that view confirms the entry's heartbeats.
  bool is_heard = true;
  bool may_renew_leases = false;
};

class DepartureTest : public testing::TestWithParam<DepartureCase> {};

bool HasReplyToAgent(const std::vector<EntryEffect>& effects) {
  return std::any_of(effects.begin(), effects.end(), [](const auto& effect) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    return sent != nullptr &&
           std::holds_alternative<EntryHeartbeat>(sent->message);
  });
}

// Guards against two runs of one task: an entry that the others have removed
// counts for nobody any more, so it must not extend the leases of agents that
// the others take for lost, also if it is being stopped. One that has left by
// itself still serves the jobs that it has, while the members hear it: those
// that replace lost members learn of its agents from nobody else.
TEST_P(DepartureTest, DecidesWhetherAgentsAreConfirmed) {
  EntryHarness entry(/*agent_count=*/1, /*slots=*/1);
  View view;
  view.epoch = Epoch(100);
  view.members = {{EntryId(77), {}, {}, DataCentreName("a")}};
  view.losses = GetParam().losses;
  entry.Handle(DrainRequested{});
  entry.Handle(ViewRead{view});
  entry.Advance(seconds(1));
  if (GetParam().is_heard) {
    PeerHeartbeat heartbeat;
    heartbeat.epoch = view.epoch;
    heartbeat.sent_at = entry.now();
    heartbeat.coverage = ContactCoverage::kRequested;
    heartbeat.peers = {{EntryId(1), entry.now(), Duration()}};
    entry.Handle(PeerMessageReceived{EntryId(77), heartbeat});
  }
  const std::vector<EntryEffect> effects =
      entry.SendHeartbeat(entry.Agent(0), entry.Load(0, 0));
  EXPECT_EQ(HasReplyToAgent(effects), GetParam().may_renew_leases);
}

INSTANTIATE_TEST_SUITE_P(
    Departures, DepartureTest,
    testing::Values(
        DepartureCase{"LeftByItself", {}, true, true},
        DepartureCase{"LeftByItselfAndIsHeardByNobody", {}, false, false},
        DepartureCase{"RemovedAsLost",
                      {{EntryId(1), Timestamp(), LossProof::kSilent}},
                      true,
                      false},
        DepartureCase{"AnotherWasLost",
                      {{EntryId(5), Timestamp(), LossProof::kSilent}},
                      true,
                      true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
