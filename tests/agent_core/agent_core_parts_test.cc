#include <gtest/gtest.h>

#include <numeric>

#include "libraries/agent_core/credit_ledger.h"
#include "libraries/agent_core/started_set.h"

namespace dandelionspur {
namespace {

Start StartOf(std::uint64_t job, std::uint32_t attempt) {
  Start start;
  start.task = {{job, job}, TaskIndex(0)};
  start.ballot = {Epoch(1), 0, EntryId(1)};
  start.attempt = attempt;
  return start;
}

TEST(StartedSetTest, ARefusedAttemptStaysWithoutEffect) {
  StartedSet set{StartedSetLimits{}};
  set.Insert(StartOf(1, 1), Timestamp());
  set.MarkNotRun(StartOf(1, 1).task);
  EXPECT_TRUE(set.IsForbidden(StartOf(1, 1)));
  EXPECT_FALSE(set.IsForbidden(StartOf(1, 2)));
}

TEST(StartedSetTest, AnswersAreBoundedInBytesAndTasksStay) {
  StartedSetLimits limits;
  limits.maximum_answer_bytes = 100;
  StartedSet set(limits);
  for (std::uint64_t job = 1; job <= 3; ++job) {
    set.Insert(StartOf(job, 1), Timestamp());
    set.MarkFinished(StartOf(job, 1).task, TaskOutcome::kSucceeded,
                     Payload::FromBytes(std::string(60, 'x')));
  }
  EXPECT_EQ(set.size(), 3U);
  EXPECT_FALSE(set.Report(StartOf(1, 1).task).result_kept);
  EXPECT_EQ(set.Report(StartOf(1, 1).task).state, StartedState::kFinished);
  EXPECT_TRUE(set.Report(StartOf(3, 1).task).result_kept);
}

TEST(StartedSetTest, FinishedTasksAreForgottenAfterTheWindow) {
  StartedSetLimits limits;
  limits.duplicate_window = std::chrono::seconds(10);
  StartedSet set(limits);
  set.Insert(StartOf(1, 1), Timestamp());
  set.MarkFinished(StartOf(1, 1).task, TaskOutcome::kSucceeded, Payload());
  set.Expire(Timestamp(std::chrono::seconds(10)));
  EXPECT_EQ(set.size(), 1U);
  set.Expire(Timestamp(std::chrono::seconds(11)));
  EXPECT_EQ(set.size(), 0U);
}

std::uint32_t Total(const std::vector<Grant>& grants) {
  return std::accumulate(grants.begin(), grants.end(), 0U,
                         [](std::uint32_t sum, const Grant& grant) {
                           return sum + grant.credits;
                         });
}

TEST(CreditLedgerTest, NeverGrantsMoreThanTheSlots) {
  CreditLedger ledger;
  ledger.SetSlots(8);
  for (std::uint64_t entry = 1; entry <= 3; ++entry) {
    ledger.EntryJoined(EntryId(entry));
  }
  EXPECT_EQ(Total(ledger.Distribute(EntryId())), 8U);
  EXPECT_EQ(Total(ledger.Distribute(EntryId())), 0U);
  EXPECT_TRUE(ledger.Consume(EntryId(1)));
  EXPECT_EQ(Total(ledger.Distribute(EntryId())), 0U);
  ledger.Release(EntryId(1));
  EXPECT_EQ(Total(ledger.Distribute(EntryId())), 1U);
}

TEST(CreditLedgerTest, FreedSlotsGoToTheEntryWithDemand) {
  CreditLedger ledger;
  ledger.SetSlots(2);
  ledger.EntryJoined(EntryId(1));
  ledger.EntryJoined(EntryId(2));
  ledger.Distribute(EntryId());
  ledger.SetDemand(EntryId(2), 5);
  EXPECT_EQ(ledger.NextRecall(), std::nullopt);
  ASSERT_TRUE(ledger.Consume(EntryId(2)));
  EXPECT_EQ(ledger.NextRecall(), std::optional(EntryId(1)));
  EXPECT_EQ(ledger.NextRecall(), std::nullopt);
  ledger.Return(EntryId(1), 1);
  const std::vector<Grant> grants = ledger.Distribute(EntryId());
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0].entry, EntryId(2));
}

TEST(CreditLedgerTest, TasksOfAnEntryThatIsGoneStillTakeSlots) {
  CreditLedger ledger;
  ledger.SetSlots(2);
  ledger.EntryJoined(EntryId(1));
  ledger.Distribute(EntryId());
  ASSERT_TRUE(ledger.Consume(EntryId(1)));
  ledger.EntryLeft(EntryId(1));
  ledger.EntryJoined(EntryId(2));
  EXPECT_EQ(Total(ledger.Distribute(EntryId())), 1U);
  ledger.Release(EntryId(1));
  EXPECT_EQ(Total(ledger.Distribute(EntryId())), 1U);
}

}  // namespace
}  // namespace dandelionspur
