#include <gtest/gtest.h>

#include "tests/support/core_bench.h"

namespace dandelionspur {
namespace {

class DecisionCostTest : public testing::TestWithParam<std::uint32_t> {
 protected:
  // A large deployment without load.
  static CoreBenchShape LargeDeployment() {
    CoreBenchShape shape;
    shape.agents = 16;
    shape.living_peers = 10;
    shape.buckets = GetParam();
    return shape;
  }

  DecisionCostTest() : bench(LargeDeployment()) {}

  // Returns the number of buckets that the entry examined during `handle`.
  template <typename Handler>
  std::uint64_t BucketsExaminedBy(const Handler& handle) {
    const Ownership& buckets = this->bench.core().buckets();
    const std::uint64_t before = buckets.buckets_examined();
    handle();
    return buckets.buckets_examined() - before;
  }

  CoreBench bench;
};

// Guards against an entry that iterates over all buckets at each message, which
// delays its answers to callers if it has only a tenth of a core.
TEST_P(DecisionCostTest, HeartbeatsExamineNoBuckets) {
  const std::uint64_t examined = this->BucketsExaminedBy([&] {
    for (std::uint32_t i = 0; i < 10; ++i) {
      this->bench.DeliverAgentHeartbeat(i);
      this->bench.DeliverPeerHeartbeat(i);
    }
  });
  EXPECT_EQ(examined, 0U);
}

// The same holds for the messages of a job: its relay, and the starts and
// completions of its tasks.
TEST_P(DecisionCostTest, AJobExaminesOnlyItsOwnBucket) {
  constexpr std::uint64_t kJobs = 50;
  std::uint32_t started = 0;
  const std::uint64_t examined = this->BucketsExaminedBy([&] {
    for (std::uint64_t job = 1; job <= kJobs; ++job) {
      started += this->bench.RunJob(job, 4);
    }
  });
  EXPECT_GT(started, 0U);
  EXPECT_LE(examined, kJobs);
}

// Unresponsive homes must still be replaced, although no message triggers it.
TEST_P(DecisionCostTest, BucketsOfUnresponsiveHomesAreAcquired) {
  const auto held = [&] {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < GetParam(); ++i) {
      const OwnershipPhase phase =
          this->bench.core().buckets().Phase(BucketId(i));
      if (phase != OwnershipPhase::kNone) ++count;
    }
    return count;
  };
  EXPECT_LT(held(), GetParam());
  this->bench.AdvanceTime(EntryCoreSettings().suspect_after + Duration(1));
  EXPECT_EQ(held(), GetParam());
}

// Guards against an overloaded entry that sends each full agent a notice of its
// queue after every heartbeat, although the agent has already received it.
TEST(DemandTest, AFullAgentIsNotifiedOfAQueueOnce) {
  CoreBenchShape shape;
  shape.agents = 4;
  shape.slots = 1;
  CoreBench bench(shape);
  constexpr std::uint32_t kMoreTasksThanSlots = 10;
  bench.SubmitJob(1, kMoreTasksThanSlots);
  std::size_t notices = 0;
  for (int round = 0; round < 5; ++round) {
    for (std::uint32_t agent = 0; agent < shape.agents; ++agent) {
      for (const EntryEffect& effect : bench.DeliverFullAgentHeartbeat(agent)) {
        const auto* sent = std::get_if<SendToAgent>(&effect);
        if (sent == nullptr) continue;
        if (std::holds_alternative<DemandNotice>(sent->message)) ++notices;
      }
    }
  }
  // The starts have already carried the notice.
  EXPECT_EQ(notices, 0U);
}

INSTANTIATE_TEST_SUITE_P(Buckets, DecisionCostTest,
                         testing::Values(64U, 256U, 1024U));

}  // namespace
}  // namespace dandelionspur
