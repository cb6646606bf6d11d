#include "libraries/protocol/upstream_losses.h"

#include <gtest/gtest.h>

#include <string>

namespace dandelionspur {
namespace {

using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
const TaskId kTask{{1, 2}, TaskIndex(3)};

UpstreamLoss Loss(std::uint64_t agent, LossRole role) {
  return {AgentId(agent), {{Epoch(1), 0, EntryId(1)}, 1}, role};
}

struct LimitCase {
  std::string name;
  std::vector<UpstreamLoss> losses;
  bool given_up;
};

class UpstreamLossesLimitTest : public testing::TestWithParam<LimitCase> {};

TEST_P(UpstreamLossesLimitTest, GivesUpAtTheLimit) {
  UpstreamLosses losses(kWindow);
  for (const UpstreamLoss& loss : this->GetParam().losses) {
    losses.Record(kTask, {loss}, Timestamp());
  }
  EXPECT_EQ(losses.IsGivenUp(kTask), this->GetParam().given_up);
  EXPECT_EQ(losses.IsGivenUp(kTask.key), this->GetParam().given_up);
}

INSTANTIATE_TEST_SUITE_P(
    Limits, UpstreamLossesLimitTest,
    testing::Values(
        LimitCase{"None", {}, false},
        LimitCase{"OneSuspect", {Loss(1, LossRole::kSuspect)}, false},
        LimitCase{"OneLossReportedTwice",
                  {Loss(1, LossRole::kSuspect), Loss(1, LossRole::kSuspect)},
                  false},
        LimitCase{"TwoSuspects",
                  {Loss(1, LossRole::kSuspect), Loss(2, LossRole::kSuspect)},
                  true},
        LimitCase{"OnceSuspectOnceBystander",
                  {Loss(1, LossRole::kSuspect), Loss(2, LossRole::kBystander)},
                  false},
        LimitCase{"ThreeTimesBystander",
                  {Loss(1, LossRole::kBystander), Loss(2, LossRole::kBystander),
                   Loss(3, LossRole::kBystander)},
                  true}),
    [](const auto& test) { return test.param.name; });

TEST(UpstreamLossesTest, LossesExpireOneWindowAfterTheLatest) {
  UpstreamLosses losses(kWindow);
  losses.Record(kTask, {Loss(1, LossRole::kSuspect)}, Timestamp());
  losses.Record(kTask, {Loss(2, LossRole::kSuspect)}, Timestamp(seconds(8)));
  losses.Expire(Timestamp(seconds(11)));
  EXPECT_TRUE(losses.IsGivenUp(kTask));
  losses.Expire(Timestamp(seconds(19)));
  EXPECT_EQ(losses.size(), 0U);
}

TEST(UpstreamLossesTest, ReportsTheLossesOfTheAskedBucketsOnly) {
  constexpr std::uint32_t kBuckets = 8;
  UpstreamLosses losses(kWindow);
  losses.Record(kTask, {Loss(1, LossRole::kSuspect)}, Timestamp());
  const BucketId own = BucketOf(kTask.key, kBuckets);
  const BucketId other((own.value() + 1) % kBuckets);
  EXPECT_EQ(losses.InBuckets({own}, kBuckets).size(), 1U);
  EXPECT_TRUE(losses.InBuckets({other}, kBuckets).empty());
}

}  // namespace
}  // namespace dandelionspur
