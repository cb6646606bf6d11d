#include <gtest/gtest.h>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A home with one upstream of one slot, for which it competes with other homes.
class StartCollisionTest : public testing::Test {
 protected:
  // Submits a job whose start is refused `collisions` times: each time that the
  // agent reports the slot as free, another home takes it first. Returns all
  // effects.
  std::vector<EntryEffect> RunCollisions(int collisions, Reason reason) {
    std::vector<EntryEffect> seen = this->harness.Submit(1, 1, seconds(60));
    std::vector<SendToAgent> starts = StartsIn(seen);
    for (int i = 0; i < collisions && !starts.empty(); ++i) {
      ++this->starts_seen;
      const auto refused = this->harness.RefuseStart(
          starts.front(), reason, this->harness.Load(1, this->starts_seen));
      seen.insert(seen.end(), refused.begin(), refused.end());
      this->harness.Advance(milliseconds(50));
      const auto freed = this->harness.SendHeartbeat(
          this->harness.Agent(0), this->harness.Load(0, this->starts_seen));
      seen.insert(seen.end(), freed.begin(), freed.end());
      starts = StartsIn(freed);
    }
    this->last_starts = starts;
    return seen;
  }

  EntryHarness harness{1, 1};
  std::uint64_t starts_seen = 0;
  std::vector<SendToAgent> last_starts;
};

constexpr int kMoreThanTheRetryBudget = 250;

// Guards against jobs that are refused as "retry_budget_exhausted" although no
// upstream has failed: when several homes compete for the slot of one upstream,
// the starts of all but one are refused.
TEST_F(StartCollisionTest, CollisionsOverAFullUpstreamSpendNoRetryBudget) {
  const std::vector<EntryEffect> seen =
      this->RunCollisions(kMoreThanTheRetryBudget, Reason::kNoFreeSlot);
  EXPECT_TRUE(AnswersIn(seen).empty());
  EXPECT_EQ(StartsIn(seen).size(), kMoreThanTheRetryBudget + 1U);
  ASSERT_EQ(this->last_starts.size(), 1U);
  EXPECT_EQ(std::get<Start>(this->last_starts.front().message).placement,
            PlacementReason::kOnlyCandidate);
}

// The retry budget must still limit the retries after failures.
TEST_F(StartCollisionTest, FailuresOfAnUpstreamSpendTheRetryBudget) {
  const std::vector<EntryEffect> seen =
      this->RunCollisions(kMoreThanTheRetryBudget, Reason::kOrderUnanswered);
  const std::vector<AnswerCaller> answers = AnswersIn(seen);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().answer.reason, Reason::kRetryBudgetExhausted);
}

// Guards against a loop of starts and refusals at the speed of the connection,
// when an upstream has no free slot although its agent reports one.
TEST_F(StartCollisionTest, StartsAtAnUpstreamWithoutFreeSlotsAreRateLimited) {
  constexpr std::size_t kMaximumStartsPerSecond = 25;
  std::vector<SendToAgent> pending =
      StartsIn(this->harness.Submit(1, 1, seconds(60)));
  std::size_t starts = 0;
  const Timestamp until = this->harness.now() + seconds(1);
  while (this->harness.now() < until) {
    while (!pending.empty() && starts <= kMaximumStartsPerSecond) {
      ++starts;
      pending = StartsIn(this->harness.RefuseStart(
          pending.front(), Reason::kNoFreeSlot, this->harness.Load(0, starts)));
    }
    ASSERT_LE(starts, kMaximumStartsPerSecond);
    this->harness.SendHeartbeat(this->harness.Agent(0),
                                this->harness.Load(0, starts));
    pending = StartsIn(this->harness.Advance(milliseconds(50)));
  }
  EXPECT_GE(starts, 5U);
}

}  // namespace
}  // namespace dandelionspur
