#include "libraries/protocol/view.h"

#include <gtest/gtest.h>

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
  // A fifth, within what hashing of 1000 buckets leaves to chance.
  EXPECT_GT(moved, kBuckets / 10);
  EXPECT_LT(moved, kBuckets / 3);
}

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
