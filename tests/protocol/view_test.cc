#include "libraries/protocol/view.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <map>
#include <numeric>
#include <vector>

namespace dandelionspur {
namespace {

View ViewOf(std::uint64_t members) {
  View view;
  for (std::uint64_t i = 1; i <= members; ++i) {
    ViewMember member;
    member.entry = EntryId(i);
    member.peer_endpoint.port = static_cast<std::uint16_t>(i);
    view = WithMember(view, member, Timestamp());
  }
  return view;
}

TEST(ViewTest, OnlyTheBucketsOfALeaverMove) {
  const View before = ViewOf(5);
  const View after = WithoutMember(before, EntryId(3));
  std::uint32_t moved = 0;
  constexpr std::uint32_t kBuckets = 1000;
  for (std::uint32_t i = 0; i < kBuckets; ++i) {
    const EntryId home = before.Ranking(BucketId(i)).front();
    const EntryId next = after.Ranking(BucketId(i)).front();
    if (home == EntryId(3)) {
      ++moved;
      EXPECT_EQ(next, before.Ranking(BucketId(i)).at(1));
    } else {
      EXPECT_EQ(next, home);
    }
  }
  // Expected is a fifth; the limits allow for the variance of the hashes.
  EXPECT_GT(moved, kBuckets / 10);
  EXPECT_LT(moved, kBuckets / 3);
}

struct ShareCase {
  const char* name;
  // The processor capacity of each member.
  std::vector<std::uint32_t> millicores;
};

class ViewShareTest : public testing::TestWithParam<ShareCase> {};

// Guards against small instances that are home of as many keys as large ones:
// they become overloaded while the large ones are idle.
TEST_P(ViewShareTest, MembersAreHomeInProportionToTheirProcessors) {
  const std::vector<std::uint32_t>& millicores = this->GetParam().millicores;
  View view = ViewOf(millicores.size());
  for (std::size_t i = 0; i < millicores.size(); ++i) {
    view.members[i].millicores = millicores[i];
  }
  constexpr std::uint32_t kBuckets = 4000;
  std::map<EntryId, double> homes;
  for (std::uint32_t i = 0; i < kBuckets; ++i) {
    ++homes[view.Ranking(BucketId(i)).front()];
  }
  const double total =
      std::accumulate(millicores.begin(), millicores.end(), 0.0);
  for (const ViewMember& member : view.members) {
    const double expected = kBuckets * member.millicores / total;
    // Four standard deviations of the hashes' distribution.
    const double tolerance = 4 * std::sqrt(expected);
    EXPECT_NEAR(homes[member.entry], expected, tolerance)
        << member.millicores << " of " << total;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Instances, ViewShareTest,
    testing::Values(ShareCase{"Alike", {120, 120, 120, 120}},
                    ShareCase{"SmallAmongLarge", {480, 480, 480, 90, 90, 120}},
                    ShareCase{"Cores", {1920, 960, 480}}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(ViewTest, AnotherIncarnationAtAnAddressProvesTheLoss) {
  View view = ViewOf(2);
  ViewMember replacement;
  replacement.entry = EntryId(9);
  replacement.peer_endpoint.port = 1;
  view = WithMember(view, replacement, Timestamp(Duration(5)));
  EXPECT_EQ(view.Find(EntryId(1)), nullptr);
  ASSERT_EQ(view.losses.size(), 1U);
  EXPECT_EQ(view.losses[0].entry, EntryId(1));
  EXPECT_EQ(view.losses[0].proof, LossProof::kProvenDead);
}

}  // namespace
}  // namespace dandelionspur
