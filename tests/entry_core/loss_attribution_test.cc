#include "libraries/entry_core/loss_attribution.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kGroupA = 1;
constexpr std::uint64_t kGroupB = 2;
constexpr std::uint64_t kGroupC = 3;
constexpr Timestamp kBegin{seconds(100)};

struct SeenLoss {
  int at_ms = 0;
  std::vector<std::uint64_t> suspects;
};

// Losses of upstreams, each at another one of eleven, and who is to blame.
struct LossPattern {
  std::string name;
  std::vector<SeenLoss> losses;
  std::vector<std::uint64_t> blamed;
};

void PrintTo(const LossPattern& pattern, std::ostream* out) {
  *out << pattern.name;
}

class LossAttributionTest : public testing::TestWithParam<LossPattern> {
 protected:
  static constexpr std::size_t kUpstreams = 11;

  void Record(AgentId agent, std::uint32_t number, const SeenLoss& seen) {
    RecentLoss loss;
    loss.number = number;
    loss.age = this->now - (kBegin + milliseconds(seen.at_ms));
    for (const std::uint64_t suspect : seen.suspects) {
      loss.suspects.emplace_back(suspect);
    }
    this->attribution.Record(agent, {loss}, this->now);
  }
  std::vector<std::uint64_t> Blamed() {
    std::vector<std::uint64_t> groups;
    for (const BlamedGroup& blamed :
         this->attribution.Blamed(kUpstreams, this->now)) {
      groups.push_back(blamed.group.value());
    }
    return groups;
  }

  Timestamp now = kBegin;
  LossAttribution attribution;
};

TEST_P(LossAttributionTest, BlamesTheGroupsThatExplainTheLosses) {
  std::uint64_t agent = 0;
  for (const SeenLoss& loss : GetParam().losses) {
    this->now = kBegin + milliseconds(loss.at_ms);
    this->Record(AgentId(++agent), 1, loss);
  }
  EXPECT_EQ(this->Blamed(), GetParam().blamed);
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, LossAttributionTest,
    testing::Values(
        LossPattern{"ATenthOfTheJobsOfOneGroupIsDeadly",
                    {{0, {kGroupA}}, {300, {kGroupA}}, {600, {kGroupA}}},
                    {kGroupA}},
        LossPattern{
            "TwoMomentsMayBeChance", {{0, {kGroupA}}, {300, {kGroupA}}}, {}},
        LossPattern{"LossesAtOneMomentHaveOneCause",
                    {{0, {kGroupA}}, {10, {kGroupA}}, {15, {kGroupA}}},
                    {}},
        LossPattern{"MostUpstreamsAreLostTogether",
                    {{0, {kGroupA}},
                     {20, {kGroupA}},
                     {40, {kGroupA}},
                     {60, {kGroupA}},
                     {80, {kGroupA}},
                     {100, {kGroupA}}},
                    {}},
        LossPattern{"AnotherGroupRunsBesideSomeOfTheLosses",
                    {{0, {kGroupA, kGroupB}},
                     {300, {kGroupA, kGroupB}},
                     {600, {kGroupA, kGroupC}}},
                    {kGroupA}},
        LossPattern{"TwoGroupsExplainTheSameLosses",
                    {{0, {kGroupA, kGroupB}},
                     {300, {kGroupA, kGroupB}},
                     {600, {kGroupA, kGroupB}}},
                    {}},
        LossPattern{"TwoGroupsAreDeadly",
                    {{0, {kGroupA}},
                     {200, {kGroupB}},
                     {400, {kGroupA}},
                     {600, {kGroupB}},
                     {800, {kGroupA}},
                     {1000, {kGroupB}}},
                    {kGroupA, kGroupB}},
        LossPattern{"LossesAreFarApart",
                    {{0, {kGroupA}}, {3000, {kGroupA}}, {6000, {kGroupA}}},
                    {}},
        LossPattern{"MostLossesHaveAnotherCause",
                    {{0, {kGroupA}},
                     {200, {}},
                     {400, {kGroupA}},
                     {600, {}},
                     {800, {kGroupA}},
                     {1000, {}}},
                    {}}),
    [](const auto& item) { return item.param.name; });

// Guards against a loss that counts again with each heartbeat that tells it.
TEST_F(LossAttributionTest, ARepeatedReportCountsOnce) {
  for (int i = 0; i < 10; ++i) {
    this->now = kBegin + milliseconds(100 * i);
    this->Record(AgentId(1), 1, {0, {kGroupA}});
  }
  EXPECT_TRUE(this->Blamed().empty());
}

// Guards against a loss that counts again after it has been forgotten.
TEST_F(LossAttributionTest, AnOldLossIsNotCounted) {
  this->now = kBegin + kAttributionWindow + milliseconds(1);
  this->Record(AgentId(1), 1, {0, {kGroupA}});
  EXPECT_FALSE(this->attribution.HasLosses());
}

}  // namespace
}  // namespace dandelionspur
