#include <gtest/gtest.h>

#include "tests/support/entry_stage.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A home with one upstream of one slot, over which other homes race it.
class StartCollisionTest : public testing::Test {
 protected:
  // A job waits while the slot is taken, `collisions` times over: each time
  // the agent tells of room, another home is quicker.
  std::vector<EntryEffect> Collide(int collisions, Reason reason) {
    std::vector<EntryEffect> seen = this->stage.Submit(1, 1, seconds(60));
    std::vector<SendToAgent> starts = StartsIn(seen);
    for (int i = 0; i < collisions && !starts.empty(); ++i) {
      ++this->starts_seen;
      const auto refused = this->stage.RefuseStart(
          starts.front(), reason, this->stage.Load(1, this->starts_seen));
      seen.insert(seen.end(), refused.begin(), refused.end());
      this->stage.Advance(milliseconds(50));
      const auto freed = this->stage.TellLoad(
          this->stage.Agent(0), this->stage.Load(0, this->starts_seen));
      seen.insert(seen.end(), freed.begin(), freed.end());
      starts = StartsIn(freed);
    }
    this->last_starts = starts;
    return seen;
  }

  EntryStage stage{1, 1};
  std::uint64_t starts_seen = 0;
  std::vector<SendToAgent> last_starts;
};

constexpr int kMoreThanTheRetryReserve = 250;

// Several homes collide over one upstream: guards against whole jobs refused
// as "retry_budget_exhausted" although no upstream has failed.
TEST_F(StartCollisionTest, CollisionsOverAFullUpstreamSpendNoRetryBudget) {
  const std::vector<EntryEffect> seen =
      this->Collide(kMoreThanTheRetryReserve, Reason::kNoFreeSlot);
  EXPECT_TRUE(AnswersIn(seen).empty());
  EXPECT_EQ(StartsIn(seen).size(), kMoreThanTheRetryReserve + 1U);
  ASSERT_EQ(this->last_starts.size(), 1U);
  EXPECT_EQ(std::get<Start>(this->last_starts.front().message).placement,
            PlacementReason::kOnlyCandidate);
}

// The budget still bounds the retries that failures cause.
TEST_F(StartCollisionTest, FailuresOfAnUpstreamSpendTheRetryBudget) {
  const std::vector<EntryEffect> seen =
      this->Collide(kMoreThanTheRetryReserve, Reason::kOrderUnanswered);
  const std::vector<AnswerCaller> answers = AnswersIn(seen);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().answer.reason, Reason::kRetryBudgetExhausted);
}

// An upstream that is full although its agent counts room: guards against a
// loop of starts and refusals as quick as the connection.
TEST_F(StartCollisionTest, AnUpstreamThatHasNoRoomAfterAllIsNotAskedHotly) {
  constexpr std::size_t kMostStartsASecond = 25;
  std::vector<SendToAgent> open =
      StartsIn(this->stage.Submit(1, 1, seconds(60)));
  std::size_t starts = 0;
  const Timestamp until = this->stage.now() + seconds(1);
  while (this->stage.now() < until) {
    while (!open.empty() && starts <= kMostStartsASecond) {
      ++starts;
      open = StartsIn(this->stage.RefuseStart(open.front(), Reason::kNoFreeSlot,
                                              this->stage.Load(0, starts)));
    }
    ASSERT_LE(starts, kMostStartsASecond);
    this->stage.TellLoad(this->stage.Agent(0), this->stage.Load(0, starts));
    open = StartsIn(this->stage.Advance(milliseconds(50)));
  }
  EXPECT_GE(starts, 5U);
}

}  // namespace
}  // namespace dandelionspur
