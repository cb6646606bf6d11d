#include "libraries/agent_core/free_capacity_offers.h"

#include <gtest/gtest.h>

#include "libraries/agent_core/upstream_performance.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const Timestamp kNow(std::chrono::seconds(10));
const std::vector<WaitingEntry> kWaiting = {
    {EntryId(1), 9}, {EntryId(2), 3}, {EntryId(3), 4}};

// Many entries wait for an upstream that frees one slot at a time.
TEST(FreeCapacityOffersTest, ASlotIsOfferedToOneEntryAndAllGetTheirTurn) {
  FreeCapacityOffers offers;
  std::map<EntryId, int> offered;
  constexpr int kSlots = 16;
  for (int i = 0; i < kSlots; ++i) {
    const std::vector<EntryId> chosen = offers.Offer(kWaiting, 1, kNow);
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_TRUE(offers.Offer(kWaiting, 1, kNow).empty());
    offers.Settle(chosen.front());
    ++offered[chosen.front()];
  }
  EXPECT_GE(offered[EntryId(2)], 3);
  EXPECT_GE(offered[EntryId(1)], offered[EntryId(2)]);
}

TEST(FreeCapacityOffersTest, AnOfferThatNobodyUsesLapses) {
  FreeCapacityOffers offers;
  const std::vector<EntryId> first = offers.Offer(kWaiting, 1, kNow);
  const std::vector<EntryId> second =
      offers.Offer(kWaiting, 1, kNow + milliseconds(50));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first, second);
}

// The tail of a load pattern: few tasks run far longer than declared.
TEST(UpstreamPerformanceTest, ALongTailIsNotTakenForASlowUpstream) {
  UpstreamPerformance performance;
  for (int i = 0; i < 100; ++i) {
    const Duration elapsed = milliseconds(i % 33 == 0 ? 700 : 100);
    performance.ObserveSuccess(milliseconds(100), elapsed, kNow);
  }
  EXPECT_LT(performance.Report(kNow).slowness_percent, 130U);
}

TEST(UpstreamPerformanceTest, AnUpstreamThatTurnsSlowIsNoticedSoon) {
  UpstreamPerformance performance;
  for (int i = 0; i < 100; ++i) {
    performance.ObserveSuccess(milliseconds(100), milliseconds(100), kNow);
  }
  for (int i = 0; i < 10; ++i) {
    performance.ObserveSuccess(milliseconds(100), milliseconds(600), kNow);
  }
  EXPECT_GT(performance.Report(kNow).slowness_percent, 250U);
  performance.ObserveFailure(kNow);
  EXPECT_EQ(performance.Report(kNow).failed_percent, 10U);
  const Timestamp later = kNow + std::chrono::seconds(6);
  EXPECT_EQ(performance.Report(later), PerformanceReport());
}

}  // namespace
}  // namespace dandelionspur
