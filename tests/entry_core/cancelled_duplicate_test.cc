#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

constexpr std::uint64_t kJob = 7;
constexpr std::uint64_t kOtherJob = 8;
constexpr std::uint32_t kTasks = 2;
constexpr Duration kTimeAllowed = std::chrono::seconds(30);
constexpr Duration kSecondsLater = std::chrono::seconds(4);

// How far the job has come when it is cancelled.
struct StageCase {
  std::string name;
  // Whether another job takes the whole capacity.
  bool is_full;
  bool is_submitted;
  std::size_t starts;
};

class CancelledDuplicateTest : public testing::TestWithParam<StageCase> {
 protected:
  CancelledDuplicateTest() : entry(1, kTasks) {
    if (!this->GetParam().is_full) return;
    this->entry.Submit(kOtherJob, kTasks, kTimeAllowed);
  }

  void SubmitAndCancel() {
    if (this->GetParam().is_submitted) {
      ASSERT_EQ(StartsIn(this->Submit()).size(), this->GetParam().starts);
    }
    this->entry.Handle(CallerCancelled{HarnessKey(kJob)});
  }
  std::vector<EntryEffect> Submit() {
    return this->entry.Submit(kJob, kTasks, kTimeAllowed);
  }

  EntryHarness entry;
};

// Guards against a late duplicate of a submission that starts a job again whose
// cancelling was acknowledged.
TEST_P(CancelledDuplicateTest, StartsNothingAndIsAnsweredAsCancelled) {
  this->SubmitAndCancel();
  EXPECT_TRUE(StartsIn(this->entry.Advance(kSecondsLater)).empty());
  const std::vector<EntryEffect> effects = this->Submit();
  EXPECT_TRUE(StartsIn(effects).empty());
  const std::vector<AnswerCaller> answers = AnswersIn(effects);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].answer.reason, Reason::kCancelled);
  EXPECT_TRUE(StartsIn(this->entry.Advance(kSecondsLater)).empty());
}

// Guards against a new home that doesn't learn of the cancelling, and starts
// the job for a late duplicate.
TEST_P(CancelledDuplicateTest, ANewHomeLearnsOfTheCancelling) {
  this->SubmitAndCancel();
  const EntryId taker(2);
  PromiseRequest request;
  for (std::uint32_t bucket = 0; bucket < kHarnessBuckets; ++bucket) {
    request.buckets.push_back({BucketId(bucket), {Epoch(9), 0, taker}});
  }
  std::vector<KnownKey> known;
  for (const EntryEffect& effect :
       this->entry.Handle(PeerMessageReceived{taker, request})) {
    const auto* sent = std::get_if<SendToPeer>(&effect);
    if (sent == nullptr) continue;
    const auto* reply = std::get_if<PromiseReply>(&sent->message);
    if (reply == nullptr) continue;
    for (const BucketPromise& promise : reply->buckets) {
      known.insert(known.end(), promise.known.begin(), promise.known.end());
    }
  }
  std::vector<JobKey> cancelled;
  for (const KnownKey& key : known) {
    if (key.cancelled) cancelled.push_back(key.key);
  }
  EXPECT_EQ(cancelled, std::vector<JobKey>{HarnessKey(kJob)});
}

INSTANTIATE_TEST_SUITE_P(
    Stages, CancelledDuplicateTest,
    testing::Values(StageCase{"Running", false, true, kTasks},
                    StageCase{"Queued", true, true, 0},
                    StageCase{"NotSubmitted", false, false, 0}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
