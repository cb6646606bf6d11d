#include "libraries/entry_core/send_budget.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

struct BudgetCase {
  const char* name;
  std::uint64_t rate;
  std::uint64_t backlog;
  std::uint64_t sent;
  std::int64_t elapsed_ms;
  bool has_room;
};

class SendBudgetTest : public testing::TestWithParam<BudgetCase> {};

// Guards against a home that sends starts to a link which is behind: they
// arrive late, and heartbeats after them.
TEST_P(SendBudgetTest, StartsWaitWhileTheLinkIsBehind) {
  const BudgetCase& tested = GetParam();
  const Timestamp noted(std::chrono::seconds(10));
  SendBudget budget(tested.rate);
  budget.NoteBacklog(tested.backlog, noted);
  budget.NoteSent(tested.sent);
  EXPECT_EQ(budget.HasRoom(noted + milliseconds(tested.elapsed_ms)),
            tested.has_room);
}

INSTANTIATE_TEST_SUITE_P(
    Links, SendBudgetTest,
    testing::Values(BudgetCase{"Idle", 100'000, 0, 0, 0, true},
                    BudgetCase{"ShortBacklog", 100'000, 5'000, 0, 0, true},
                    BudgetCase{"LongBacklog", 100'000, 50'000, 0, 0, false},
                    BudgetCase{"Drained", 100'000, 50'000, 0, 500, true},
                    BudgetCase{"ManyStarts", 100'000, 0, 20'000, 10, false},
                    BudgetCase{"NoLimit", 0, 1'000'000'000, 0, 0, true}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
