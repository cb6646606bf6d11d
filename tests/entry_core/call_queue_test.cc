#include "libraries/entry_core/call_queue.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Timestamp kStart(seconds(1'000'000));

struct PushedCall {
  int name = 0;
  Duration slack{};
  // After the start.
  Duration arrived{};
};

struct TurnCase {
  std::string name;
  std::vector<PushedCall> pushed;
  // The times of the turns after the start; the last one is checked.
  std::vector<Duration> turns;
  std::vector<int> refused;
  std::optional<int> next;
};

class CallTurnTest : public testing::TestWithParam<TurnCase> {};

// Guards against an entry that is behind and serves calls in the order of their
// arrival, each of them as late as the first.
TEST_P(CallTurnTest, ServesWhatIsOfMostUse) {
  CallQueue<int> queue;
  for (const PushedCall& call : GetParam().pushed) {
    queue.Push(call.name, call.slack, kStart + call.arrived);
  }
  CallQueue<int>::Turn turn;
  for (const Duration at : GetParam().turns) turn = queue.Take(kStart + at);
  std::vector<int> refused;
  for (const CallQueue<int>::Refused& late : turn.refused) {
    refused.push_back(late.call);
  }
  EXPECT_EQ(refused, GetParam().refused);
  ASSERT_EQ(turn.next.has_value(), GetParam().next.has_value());
  if (!turn.next) return;
  EXPECT_EQ(turn.next->call, *GetParam().next);
}

INSTANTIATE_TEST_SUITE_P(
    Queues, CallTurnTest,
    testing::Values(
        TurnCase{"Empty", {}, {Duration()}, {}, std::nullopt},
        TurnCase{"OldestWhileTheEntryKeepsUp",
                 {{1, seconds(1), {}}, {2, seconds(1), milliseconds(50)}},
                 {milliseconds(100)},
                 {},
                 1},
        TurnCase{"NewestOnceTheWaitIsNoticeable",
                 {{1, seconds(1), {}}, {2, seconds(1), milliseconds(50)}},
                 {milliseconds(101)},
                 {},
                 2},
        // 150 ms before the end of its time the home would refuse it.
        TurnCase{"RefusesWhatCannotBeServedInTime",
                 {{1, seconds(1), {}}, {2, seconds(1), milliseconds(50)}},
                 {milliseconds(850)},
                 {1},
                 2},
        TurnCase{"OnlyLateOnes",
                 {{1, seconds(1), {}}},
                 {milliseconds(850)},
                 {1},
                 std::nullopt},
        TurnCase{
            "TheOneWithTheLeastTimeIsLateFirst",
            {{1, seconds(9), {}}, {2, milliseconds(400), milliseconds(50)}},
            {milliseconds(400)},
            {2},
            1},
        // Estimates of run times may be wrong, so that the core decides.
        TurnCase{
            "NoSlackAtAll", {{1, -seconds(1), {}}}, {milliseconds(99)}, {}, 1},
        TurnCase{"NoSlackAndANoticeableWait",
                 {{1, -seconds(1), {}}},
                 {milliseconds(101)},
                 {1},
                 std::nullopt},
        TurnCase{"BoundedRefusalsBeforeTheNextIsServed",
                 {{1, milliseconds(200), {}},
                  {2, milliseconds(200), {}},
                  {3, milliseconds(200), {}},
                  {4, milliseconds(200), {}},
                  {5, milliseconds(200), {}},
                  {6, seconds(2), milliseconds(100)}},
                 {milliseconds(500)},
                 {1, 2, 3, 4},
                 6},
        // The queue has lasted for less than a second.
        TurnCase{"AfterAPauseAllThatIsOfUse",
                 {{1, seconds(4), {}}, {2, seconds(4), milliseconds(10)}},
                 {milliseconds(1200)},
                 {},
                 2},
        TurnCase{"LastingQueueRefusesEarly",
                 {{1, seconds(4), {}}, {2, seconds(4), milliseconds(10)}},
                 {milliseconds(200), milliseconds(1200)},
                 {1},
                 std::nullopt}),
    [](const auto& tested) { return tested.param.name; });

// Guards against early refusals because of a queue that has ended.
TEST(CallQueueTest, TakesALaterQueueForANewOne) {
  CallQueue<int> queue;
  queue.Push(1, seconds(4), kStart);
  EXPECT_EQ(queue.Take(kStart + milliseconds(500)).next->call, 1);
  queue.Push(2, seconds(4), kStart + seconds(2));
  const auto turn = queue.Take(kStart + seconds(3));
  EXPECT_TRUE(turn.refused.empty());
  EXPECT_TRUE(turn.next.has_value());
}

// Guards against callers that are refused together and return together.
TEST(CallQueueTest, SpreadsTheReturnOfRefusedCallers) {
  constexpr int kCalls = 16;
  CallQueue<int> queue;
  for (int i = 0; i < kCalls; ++i) queue.Push(i, seconds(1), kStart);
  std::set<Duration> times;
  while (!queue.empty()) {
    for (const auto& refused : queue.Take(kStart + seconds(1)).refused) {
      times.insert(refused.retry_after);
    }
  }
  EXPECT_EQ(times.size(), static_cast<std::size_t>(kCalls));
  EXPECT_GE(*times.begin(), milliseconds(200));
  EXPECT_LE(*times.rbegin(), seconds(2));
}

// Guards against a cancellation that overtakes its job, which then runs.
TEST(CallQueueTest, TakesOutMatchingCallsInOrder) {
  CallQueue<int> queue;
  for (int i = 0; i < 4; ++i) queue.Push(i, seconds(1), kStart);
  const auto found = queue.TakeMatching([](int call) { return call % 2 == 1; },
                                        kStart + milliseconds(10));
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found[0].call, 1);
  EXPECT_EQ(found[1].call, 3);
  EXPECT_EQ(found[0].waited, milliseconds(10));
  EXPECT_EQ(queue.size(), 2U);
  // Those that were taken out are not refused later.
  EXPECT_EQ(queue.Take(kStart + seconds(9)).refused.size(), 2U);
}

}  // namespace
}  // namespace dandelionspur
