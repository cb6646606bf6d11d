#include "services/entry/load_guard.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kMegabyte = 1'000'000;
constexpr std::uint64_t kSmallInstance = 120 * kMegabyte;

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
  const std::optional<Overload> overload = guard.Check(parameters.send_delay);
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

}  // namespace
}  // namespace dandelionspur
