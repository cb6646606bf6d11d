#include "libraries/entry_core/evacuation/evacuations.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "libraries/entry_core/evacuation/return_ramp.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using Names = std::vector<std::string>;

std::vector<DataCentreName> DataCentres(const Names& names) {
  return {names.begin(), names.end()};
}

struct Told {
  std::uint64_t version;
  Names names;
};

struct OrderCase {
  const char* name;
  std::vector<Told> told;
  Names known;
  // Whether a process that knows nothing is told of it.
  bool is_news;
};

class EvacuationOrderTest : public testing::TestWithParam<OrderCase> {};

// Guards against an older set that arrives later, from an entry that is cut off
// from the table, and takes an evacuation back or brings one back.
TEST_P(EvacuationOrderTest, TheNewestSetCountsWheneverItArrives) {
  Evacuations evacuations;
  for (const Told& told : GetParam().told) {
    evacuations.Adopt(
        {EvacuationVersion(told.version), DataCentres(told.names)});
  }
  EXPECT_EQ(evacuations.known().data_centres, DataCentres(GetParam().known));
  EXPECT_EQ(evacuations.NewsFor(EvacuationVersion()).has_value(),
            GetParam().is_news);
  EXPECT_EQ(evacuations.News().has_value(), GetParam().is_news);
  EXPECT_FALSE(evacuations.NewsFor(evacuations.known().version));
}

INSTANTIATE_TEST_SUITE_P(
    Orders, EvacuationOrderTest,
    testing::Values(OrderCase{"Nothing", {}, {}, false},
                    OrderCase{"EmptyTable", {{9, {}}}, {}, false},
                    OrderCase{"Two", {{5, {"b", "a"}}}, {"a", "b"}, true},
                    OrderCase{"Return", {{5, {"a"}}, {6, {}}}, {}, true},
                    OrderCase{"LateReturn", {{6, {}}, {5, {"a"}}}, {}, true},
                    OrderCase{
                        "LateEvacuation", {{7, {"a"}}, {6, {}}}, {"a"}, true},
                    OrderCase{"Repeated", {{5, {"a"}}, {5, {}}}, {"a"}, true},
                    OrderCase{"Exchanged",
                              {{5, {"a"}}, {8, {"b"}}, {7, {"a", "b"}}},
                              {"b"},
                              true}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(EvacuationsTest, ADifferenceNamesWhatHasBegunAndEnded) {
  Evacuations evacuations;
  evacuations.Adopt({EvacuationVersion(1), DataCentres({"a", "b"})});
  const auto difference =
      evacuations.Adopt({EvacuationVersion(2), DataCentres({"b", "c"})});
  ASSERT_TRUE(difference);
  EXPECT_EQ(difference->begun, DataCentres({"c"}));
  EXPECT_EQ(difference->ended, DataCentres({"a"}));
  EXPECT_FALSE(
      evacuations.Adopt({EvacuationVersion(3), DataCentres({"b", "c"})}));
}

struct RampCase {
  const char* name;
  Duration since_return;
  std::uint64_t taken;
  std::uint64_t need;
  bool allowed;
};

class ReturnRampTest : public testing::TestWithParam<RampCase> {};

// The load: a whole data centre returns with cold caches while all entries have
// queues, and its idle upstreams would be filled at once with slow tasks.
TEST_P(ReturnRampTest, TheShareOfAReturnedUpstreamGrows) {
  const RampCase& tested = GetParam();
  EXPECT_EQ(ReturnRamp::Allows(tested.since_return, {tested.taken, 0, 0},
                               {tested.need, 0, 0}, {8000, 0, 0}),
            tested.allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Times, ReturnRampTest,
    testing::Values(
        RampCase{"QuarterAtFirst", {}, 1000, 1000, true},
        RampCase{"NoMoreAtFirst", {}, 2000, 1000, false},
        RampCase{"IdleTakesAny", {}, 0, 8000, true},
        RampCase{"Half", milliseconds(1000), 4000, 1000, true},
        RampCase{"NotAll", milliseconds(1000), 7000, 1000, false},
        RampCase{"AllInTheEnd", ReturnRamp::kRampTime, 7000, 1000, true},
        RampCase{"ClockSetBack", milliseconds(-50), 2000, 1000, false}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
