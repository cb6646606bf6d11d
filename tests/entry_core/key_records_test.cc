#include "libraries/entry_core/key_records.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <set>
#include <string>

namespace dandelionspur {
namespace {

constexpr JobKey kKey{1, 1};
const AgentId kAgent(7);
const AgentId kOtherAgent(8);

constexpr Timestamp At(std::int64_t seconds) {
  return Timestamp(std::chrono::seconds(seconds));
}

std::vector<JobKey> KeysOf(const KeyRecords& records) {
  std::vector<JobKey> keys;
  for (const KnownKey& known : records.Sorted()) keys.push_back(known.key);
  return keys;
}

// What happens to kKey, and how it is recorded afterwards.
struct OriginCase {
  std::string name;
  std::function<void(KeyRecords&)> act;
  std::optional<KeyOrigin> origin;
  // In seconds.
  std::int64_t first_seen = 0;
};

// How kKey, whose job was cancelled, comes into the records.
struct CancelledCase {
  std::string name;
  std::function<void(KeyRecords&)> act;
  KeyOrigin origin;
};

class CancelledKeyTest : public testing::TestWithParam<CancelledCase> {};

// Guards against a late duplicate that starts a cancelled job again after its
// bucket has moved: whoever takes the key over must learn of the cancelling.
TEST_P(CancelledKeyTest, IsListedAsCancelledUntilItExpires) {
  KeyRecords records;
  this->GetParam().act(records);
  EXPECT_EQ(records.OriginOf(kKey), this->GetParam().origin);
  records.BeginBallot();
  EXPECT_TRUE(records.IsCancelled(kKey));
  EXPECT_EQ(records.cancelled(), std::set<JobKey>{kKey});
  ASSERT_EQ(records.Sorted().size(), 1U);
  EXPECT_TRUE(records.Sorted().front().cancelled);
  // Cancelled at 8 s, so kept for longer than a key that was last heard before.
  records.Expire(At(8));
  EXPECT_TRUE(records.IsCancelled(kKey));
  records.Expire(At(9));
  EXPECT_FALSE(records.IsCancelled(kKey));
  EXPECT_TRUE(records.cancelled().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Ways, CancelledKeyTest,
    testing::Values(
        CancelledCase{"NotRecordedBefore",
                      [](KeyRecords& records) { records.Cancel(kKey, At(8)); },
                      KeyOrigin::kInherited},
        CancelledCase{"RecordedAsOwn",
                      [](KeyRecords& records) {
                        records.Remember({kKey, At(5)}, At(6));
                        records.Cancel(kKey, At(8));
                      },
                      KeyOrigin::kOwn},
        CancelledCase{"ClosedBefore",
                      [](KeyRecords& records) {
                        records.Remember({kKey, At(5)}, At(6));
                        records.Close(kKey, At(7));
                        records.Cancel(kKey, At(8));
                      },
                      KeyOrigin::kClosed},
        CancelledCase{"Witnessed",
                      [](KeyRecords& records) {
                        records.Remember({kKey, At(5), true}, At(8));
                      },
                      KeyOrigin::kOwn},
        CancelledCase{"HandedOver",
                      [](KeyRecords& records) {
                        records.Remember({kKey, At(5)}, At(6));
                        records.RememberInherited({kKey, At(5), true}, At(8));
                      },
                      KeyOrigin::kOwn},
        CancelledCase{"PromisedAfterActivation",
                      [](KeyRecords& records) {
                        records.Remember({kKey, At(5)}, At(6));
                        records.MergePromised({kKey, At(5), true},
                                              RecordedKeys::kKeepOrigin, At(8));
                      },
                      KeyOrigin::kOwn},
        CancelledCase{"ListedAgainAsNotCancelled",
                      [](KeyRecords& records) {
                        records.Cancel(kKey, At(8));
                        records.MergePromised({kKey, At(5)},
                                              RecordedKeys::kBecomeInherited,
                                              At(8));
                      },
                      KeyOrigin::kInherited}),
    [](const auto& tested) { return tested.param.name; });

class OriginTest : public testing::TestWithParam<OriginCase> {};

TEST_P(OriginTest, FollowsTheLatestChange) {
  const OriginCase& tested = this->GetParam();
  KeyRecords records;
  tested.act(records);
  EXPECT_EQ(records.OriginOf(kKey), tested.origin);
  if (tested.origin) {
    EXPECT_EQ(records.FirstSeen(kKey), At(tested.first_seen));
  } else {
    EXPECT_EQ(records.FirstSeen(kKey), std::nullopt);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Changes, OriginTest,
    testing::Values(
        OriginCase{"NotRecorded", [](KeyRecords&) {}, std::nullopt},
        OriginCase{"Remembered",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                   },
                   KeyOrigin::kOwn, 5},
        OriginCase{"RememberedTwiceKeepsTheFirstTime",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.Remember({kKey, At(3)}, At(7));
                   },
                   KeyOrigin::kOwn, 5},
        OriginCase{"InheritedFirst",
                   [](KeyRecords& records) {
                     records.RememberInherited({kKey, At(5)}, At(6));
                     records.Remember({kKey, At(7)}, At(8));
                   },
                   KeyOrigin::kInherited, 5},
        OriginCase{"InheritedAfterItsOwnChangesNothing",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.RememberInherited({kKey, At(3)}, At(7));
                   },
                   KeyOrigin::kOwn, 5},
        OriginCase{"PromisedAfterActivationKeepsItsOrigin",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.MergePromised({kKey, At(3)},
                                           RecordedKeys::kKeepOrigin, At(7));
                   },
                   KeyOrigin::kOwn, 3},
        OriginCase{"PromisedDuringCollectionIsInherited",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.MergePromised(
                         {kKey, At(8)}, RecordedKeys::kBecomeInherited, At(9));
                   },
                   KeyOrigin::kInherited, 5},
        OriginCase{"PromisedForTheFirstTimeIsInherited",
                   [](KeyRecords& records) {
                     records.MergePromised({kKey, At(3)},
                                           RecordedKeys::kKeepOrigin, At(7));
                   },
                   KeyOrigin::kInherited, 3},
        OriginCase{
            "ReportedByAnAgent",
            [](KeyRecords& records) {
              records.AddReported({kKey, At(2)}, {TaskIndex(0)}, kAgent, At(7));
            },
            KeyOrigin::kInherited, 2},
        OriginCase{"Closed",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.Close(kKey, At(7));
                   },
                   KeyOrigin::kClosed, 5},
        OriginCase{"ClosedWithoutRecord",
                   [](KeyRecords& records) { records.Close(kKey, At(7)); },
                   std::nullopt},
        OriginCase{"Reopened",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.Close(kKey, At(7));
                     records.Reopen(kKey, {});
                   },
                   KeyOrigin::kInherited, 5},
        OriginCase{"ReopenedWithoutRecord",
                   [](KeyRecords& records) { records.Reopen(kKey, {}); },
                   std::nullopt},
        OriginCase{"NextBallot",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.BeginBallot();
                   },
                   KeyOrigin::kInherited, 5},
        OriginCase{"HeardBeforeTheHorizon",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.Expire(At(7));
                   },
                   std::nullopt},
        OriginCase{"HeardAgainAtTheHorizon",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.Remember({kKey, At(7)}, At(7));
                     records.Expire(At(7));
                   },
                   KeyOrigin::kOwn, 5},
        OriginCase{"ClosedAtTheHorizon",
                   [](KeyRecords& records) {
                     records.Remember({kKey, At(5)}, At(6));
                     records.Close(kKey, At(7));
                     records.Expire(At(7));
                   },
                   KeyOrigin::kClosed, 5}),
    [](const auto& tested) { return tested.param.name; });

TEST(KeyRecordsTest, CollectsTheTasksThatEachAgentReports) {
  KeyRecords records;
  records.AddReported({kKey, At(1)}, {TaskIndex(0), TaskIndex(2)}, kAgent,
                      At(5));
  records.AddReported({kKey, At(1)}, {TaskIndex(1)}, kOtherAgent, At(6));
  const std::vector<ReportedTask> expected = {{TaskIndex(0), kAgent},
                                              {TaskIndex(2), kAgent},
                                              {TaskIndex(1), kOtherAgent}};
  EXPECT_EQ(records.ReportedTasks(kKey), expected);
  EXPECT_TRUE(records.ReportedTasks(JobKey{2, 2}).empty());
}

TEST(KeyRecordsTest, ReopensAKeyWithTheGivenTasksOnly) {
  KeyRecords records;
  records.AddReported({kKey, At(1)}, {TaskIndex(0)}, kAgent, At(5));
  const std::vector<ReportedTask> started = {{TaskIndex(1), kOtherAgent}};
  records.Reopen(kKey, started);
  EXPECT_EQ(records.ReportedTasks(kKey), started);
}

// Each of these must forget the reported tasks; only the last one the key.
struct ForgetCase {
  std::string name;
  std::function<void(KeyRecords&)> act;
  std::size_t keys_left;
};

class ForgetReportedTest : public testing::TestWithParam<ForgetCase> {};

TEST_P(ForgetReportedTest, LeavesNoReportedTask) {
  KeyRecords records;
  records.AddReported({kKey, At(1)}, {TaskIndex(0)}, kAgent, At(5));
  this->GetParam().act(records);
  EXPECT_TRUE(records.ReportedTasks(kKey).empty());
  EXPECT_EQ(records.size(), this->GetParam().keys_left);
}

INSTANTIATE_TEST_SUITE_P(
    Changes, ForgetReportedTest,
    testing::Values(
        ForgetCase{"NextBallot",
                   [](KeyRecords& records) { records.BeginBallot(); }, 1},
        ForgetCase{"Released",
                   [](KeyRecords& records) { records.ClearReported(); }, 1},
        ForgetCase{"Expired",
                   [](KeyRecords& records) { records.Expire(At(6)); }, 0}),
    [](const auto& tested) { return tested.param.name; });

TEST(KeyRecordsTest, ListsKeysInAscendingOrder) {
  KeyRecords records;
  records.Remember({{3, 0}, At(1)}, At(1));
  records.RememberInherited({{1, 9}, At(2)}, At(2));
  records.MergePromised({{2, 5}, At(3)}, RecordedKeys::kKeepOrigin, At(3));
  const std::vector<JobKey> ascending = {{1, 9}, {2, 5}, {3, 0}};
  EXPECT_EQ(KeysOf(records), ascending);
  EXPECT_EQ(records.size(), 3U);
}

}  // namespace
}  // namespace dandelionspur
