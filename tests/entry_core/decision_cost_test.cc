#include <gtest/gtest.h>

#include "tests/support/core_bench.h"

namespace dandelionspur {
namespace {

class DecisionCostTest : public testing::TestWithParam<std::uint32_t> {
 protected:
  // One of the entries of a grown deployment, in a calm moment.
  static CoreBenchShape Grown() {
    CoreBenchShape shape;
    shape.agents = 16;
    shape.living_peers = 10;
    shape.buckets = GetParam();
    return shape;
  }

  DecisionCostTest() : bench(Grown()) {}

  // Buckets that were looked at by `handle`.
  template <typename Handler>
  std::uint64_t ExaminedBy(const Handler& handle) {
    const Ownership& buckets = this->bench.core().buckets();
    const std::uint64_t before = buckets.buckets_examined();
    handle();
    return buckets.buckets_examined() - before;
  }

  CoreBench bench;
};

// An entry with a tenth of a core that walks all buckets at each message
// spends on that what its callers wait for.
TEST_P(DecisionCostTest, AMessageThatMovesNoBucketLooksAtNone) {
  const std::uint64_t examined = this->ExaminedBy([&] {
    for (std::uint32_t i = 0; i < 10; ++i) {
      this->bench.HearAgent(i);
      this->bench.HearPeer(i);
    }
  });
  EXPECT_EQ(examined, 0U);
}

// The same for what a job brings: its relay, its starts and its ends.
TEST_P(DecisionCostTest, AJobLooksAtNoBucketsButItsOwn) {
  constexpr std::uint64_t kJobs = 50;
  std::uint32_t started = 0;
  const std::uint64_t examined = this->ExaminedBy([&] {
    for (std::uint64_t job = 1; job <= kJobs; ++job) {
      started += this->bench.RunJob(job, 4);
    }
  });
  EXPECT_GT(started, 0U);
  EXPECT_LE(examined, kJobs);
}

// Homes that stay silent must still be replaced, although no message says so.
TEST_P(DecisionCostTest, BucketsOfSilentHomesAreAcquired) {
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
  this->bench.Pass(EntryCoreSettings().suspect_after + Duration(1));
  EXPECT_EQ(held(), GetParam());
}

// An overloaded entry told every full agent of its queue after each heartbeat,
// although the agent knew.
TEST(DemandTest, AFullAgentIsToldOfAQueueOnce) {
  CoreBenchShape shape;
  shape.agents = 4;
  shape.slots = 1;
  CoreBench bench(shape);
  constexpr std::uint32_t kMoreThanRoom = 10;
  bench.BeginJob(1, kMoreThanRoom);
  std::size_t notices = 0;
  for (int round = 0; round < 5; ++round) {
    for (std::uint32_t agent = 0; agent < shape.agents; ++agent) {
      for (const EntryEffect& effect : bench.HearFullAgent(agent)) {
        const auto* sent = std::get_if<SendToAgent>(&effect);
        if (sent == nullptr) continue;
        if (std::holds_alternative<DemandNotice>(sent->message)) ++notices;
      }
    }
  }
  // The starts have told already.
  EXPECT_EQ(notices, 0U);
}

INSTANTIATE_TEST_SUITE_P(Buckets, DecisionCostTest,
                         testing::Values(64U, 256U, 1024U));

}  // namespace
}  // namespace dandelionspur
