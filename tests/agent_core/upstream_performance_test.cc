#include "libraries/agent_core/upstream_performance.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

const Timestamp kNow(std::chrono::seconds(10));

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
