#include "services/entry/load_guard.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/protocol/job.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMegabyte = 1'000'000;
constexpr std::uint64_t kSmallInstance = 120 * kMegabyte;
constexpr milliseconds kLongSlack{30'000};
// Longer than any burst that an entry works off at once.
constexpr int kManyIntervals = 40;

struct GuardCase {
  std::string name;
  std::uint64_t memory_limit;
  // The memory in use, noted every 100 ms.
  std::vector<std::uint64_t> memory;
  Duration send_delay;
  std::optional<Overload> expected;
};

class LoadGuardTest : public testing::TestWithParam<GuardCase> {};

// Guards against an entry that takes in jobs until it is killed for its memory,
// so that all its callers' connections close without an answer.
TEST_P(LoadGuardTest, RefusesBeforeAResourceEnds) {
  const GuardCase& parameters = GetParam();
  LoadGuard guard(parameters.memory_limit);
  LoadGuard::SteadyTime now(std::chrono::seconds(1));
  for (const std::uint64_t bytes : parameters.memory) {
    guard.NoteMemory(bytes, now);
    now += milliseconds(100);
  }
  const std::optional<Overload> overload =
      guard.Check({parameters.send_delay, kLongSlack});
  ASSERT_EQ(overload.has_value(), parameters.expected.has_value());
  if (!overload) return;
  EXPECT_EQ(overload->resource, parameters.expected->resource);
  EXPECT_EQ(overload->retry_after, parameters.expected->retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, LoadGuardTest,
    testing::Values(
        GuardCase{"Idle", kSmallInstance, {6 * kMegabyte}, {}, std::nullopt},
        GuardCase{"BelowTheBudget",
                  kSmallInstance,
                  {71 * kMegabyte},
                  milliseconds(300),
                  std::nullopt},
        GuardCase{"MemoryOnlyGrows",
                  kSmallInstance,
                  {60 * kMegabyte, 80 * kMegabyte},
                  {},
                  Overload{ScarceResource::kMemory, milliseconds(2000)}},
        // 8 MB above the budget of 72 MB; 1 MB is freed in 100 ms.
        GuardCase{"MemoryIsFreedSlowly",
                  kSmallInstance,
                  {81 * kMegabyte, 80 * kMegabyte},
                  {},
                  Overload{ScarceResource::kMemory, milliseconds(800)}},
        GuardCase{"MemoryIsFreedFast",
                  kSmallInstance,
                  {118 * kMegabyte, 73 * kMegabyte},
                  {},
                  Overload{ScarceResource::kMemory, milliseconds(200)}},
        GuardCase{"NoMemoryLimit",
                  0,
                  {900 * kMegabyte},
                  milliseconds(10),
                  std::nullopt},
        GuardCase{"LinkIsBehind",
                  kSmallInstance,
                  {6 * kMegabyte},
                  milliseconds(450),
                  Overload{ScarceResource::kLink, milliseconds(450)}}),
    [](const testing::TestParamInfo<GuardCase>& tested) {
      return tested.param.name;
    });

struct DelayCase {
  std::string name;
  // The delays of the entry in intervals of 50 ms, repeated in turn.
  std::vector<std::int64_t> delays_ms;
  // How long the caller can wait beyond the run of its task.
  std::int64_t slack_ms;
  std::optional<ScarceResource> expected;
};

class DelayedEntryTest : public testing::TestWithParam<DelayCase> {};

constexpr milliseconds kInterval{50};

// Guards against an entry that is short of processor time and takes in jobs
// that it answers after their deadlines or never, where it could refuse them at
// once.
TEST_P(DelayedEntryTest, RefusesWhatItCannotAnswerInTime) {
  const DelayCase& parameters = GetParam();
  LoadGuard guard(kSmallInstance);
  LoadGuard::SteadyTime now(std::chrono::seconds(1));
  for (int i = 0; i < kManyIntervals; ++i) {
    const milliseconds delay(
        parameters.delays_ms[i % parameters.delays_ms.size()]);
    now += kInterval + delay;
    guard.NoteDelay(delay, now);
  }
  const std::optional<Overload> overload =
      guard.Check({Duration(), milliseconds(parameters.slack_ms)});
  ASSERT_EQ(overload.has_value(), parameters.expected.has_value());
  if (!overload) return;
  EXPECT_EQ(overload->resource, *parameters.expected);
  EXPECT_GE(overload->retry_after, milliseconds(200));
  EXPECT_LE(overload->retry_after, milliseconds(2000));
}

INSTANTIATE_TEST_SUITE_P(
    Delays, DelayedEntryTest,
    testing::Values(
        DelayCase{"KeepsUp", {1, 4, 2}, 600, std::nullopt},
        DelayCase{"OneBurstASecond",
                  {1, 400, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
                  600,
                  std::nullopt},
        DelayCase{"DelayHardlyNoticed", {95}, 10, std::nullopt},
        DelayCase{"JobWithLittleTime", {200}, 600, ScarceResource::kDelay},
        DelayCase{"JobWithMoreTime", {200}, 1400, std::nullopt},
        DelayCase{"FarBehind", {900, 700}, 1400, ScarceResource::kDelay},
        DelayCase{"OthersTakeItForLost", {600}, 30'000, ScarceResource::kDelay},
        DelayCase{"BehindWithIntervalsInTime",
                  {450, 450, 450, 1},
                  600,
                  ScarceResource::kDelay}),
    [](const testing::TestParamInfo<DelayCase>& tested) {
      return tested.param.name;
    });

struct SlackCase {
  std::string name;
  std::int64_t allowed_ms;
  std::int64_t objective_ms;
  std::vector<std::int64_t> declared_ms;
  std::int64_t slack_ms;
};

class SlackTest : public testing::TestWithParam<SlackCase> {};

// Guards against jobs that are taken in although their answers would be of no
// use any more, long before their callers' deadlines.
TEST_P(SlackTest, IsWhatTheLongestTaskLeavesOfTheUsefulTime) {
  const SlackCase& parameters = GetParam();
  JobSubmission job;
  job.time_allowed = milliseconds(parameters.allowed_ms);
  job.objective = milliseconds(parameters.objective_ms);
  for (const std::int64_t declared : parameters.declared_ms) {
    job.tasks.push_back({Payload(), milliseconds(declared), kOneSlot});
  }
  EXPECT_EQ(job.Slack(), milliseconds(parameters.slack_ms));
}

INSTANTIATE_TEST_SUITE_P(
    Jobs, SlackTest,
    testing::Values(SlackCase{"NoObjective", 1500, 0, {900, 100}, 600},
                    SlackCase{"ShortTask", 1500, 156, {60}, 408},
                    SlackCase{"LongTask", 1500, 1500, {900}, 600},
                    SlackCase{"TooLittleTime", 500, 0, {900}, -400}),
    [](const testing::TestParamInfo<SlackCase>& tested) {
      return tested.param.name;
    });

// Guards against refusals that go on after the entry has caught up, and against
// one Retry-After for all: it has to follow how fast the delay falls.
TEST(LoadGuardTest, RetryAfterFollowsHowFastTheDelayFalls) {
  LoadGuard guard(kSmallInstance);
  LoadGuard::SteadyTime now(std::chrono::seconds(1));
  for (int i = 0; i < kManyIntervals; ++i) {
    now += kInterval;
    guard.NoteDelay(milliseconds(1500), now);
  }
  const AdmissionRequest job{Duration(), milliseconds(1200)};
  EXPECT_EQ(guard.Check(job).value().retry_after, milliseconds(1500));
  while (guard.Check(job)) {
    now += kInterval;
    guard.NoteDelay(Duration(), now);
    const std::optional<Overload> overload = guard.Check(job);
    if (overload) {
      EXPECT_LE(overload->retry_after, milliseconds(1200));
    }
  }
  // 1,500 ms fall to 300 ms in two to three times 500 ms, and the delays before
  // count for 200 ms.
  const LoadGuard::SteadyTime fell(std::chrono::seconds(1) +
                                   kManyIntervals * kInterval);
  EXPECT_GE(now - fell, milliseconds(1000));
  EXPECT_LE(now - fell, milliseconds(1700));
  EXPECT_FALSE(guard.Check(job));
}

// Guards against large jobs that are all taken in between two looks at the
// memory.
TEST(LoadGuardAdmissionTest, CountsJobsSinceTheLastLookAtTheMemory) {
  constexpr std::uint64_t kJob = 10 * kMegabyte;
  LoadGuard guard(kSmallInstance);
  LoadGuard::SteadyTime now(std::chrono::seconds(1));
  guard.NoteMemory(20 * kMegabyte, now);
  int admitted = 0;
  while (!guard.Check({{}, kLongSlack})) {
    guard.NoteAdmitted(kJob);
    ++admitted;
  }
  EXPECT_EQ(admitted, 3);
  now += milliseconds(50);
  guard.NoteMemory(50 * kMegabyte, now);
  EXPECT_FALSE(guard.Check({{}, kLongSlack}));
}

// A single request of any size is taken in.
TEST(LoadGuardAdmissionTest, ALargeJobIsTakenInWhereMemoryIsFree) {
  LoadGuard guard(kSmallInstance);
  guard.NoteMemory(6 * kMegabyte, LoadGuard::SteadyTime());
  EXPECT_FALSE(guard.Check({{}, kLongSlack}));
  guard.NoteAdmitted(kSmallInstance);
  const std::optional<Overload> overload = guard.Check({{}, kLongSlack});
  ASSERT_TRUE(overload.has_value());
  EXPECT_EQ(overload->resource, ScarceResource::kMemory);
}

}  // namespace
}  // namespace dandelionspur
