#include "libraries/entry_core/memory_use.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

constexpr std::uint64_t kBodyBytes = 100'000;

struct BodyCase {
  const char* name;
  // The content of the body of each task.
  std::vector<char> bodies;
  // How many of the bodies are held.
  std::uint64_t held;
};

class HeldBytesTest : public testing::TestWithParam<BodyCase> {};

// Guards against a gauge that shows the same body once for each task: entries
// would seem to hold more memory than they have.
TEST_P(HeldBytesTest, CountsSharedBodiesOnce) {
  const BodyCase& tested = this->GetParam();
  JobSubmission job;
  for (const char content : tested.bodies) {
    TaskRequest task;
    task.body = Payload::FromBytes(std::string(kBodyBytes, content));
    job.tasks.push_back(task);
  }
  EXPECT_GE(job.HeldBytes(), tested.held * kBodyBytes);
  EXPECT_LT(job.HeldBytes(), (tested.held + 1) * kBodyBytes);
}

INSTANTIATE_TEST_SUITE_P(Bodies, HeldBytesTest,
                         testing::Values(BodyCase{"NoTask", {}, 0},
                                         BodyCase{"Shared", {'a', 'a', 'a'}, 1},
                                         BodyCase{"Own", {'a', 'b', 'c'}, 3}),
                         [](const auto& tested) {
                           return std::string(tested.param.name);
                         });

// The report of an agent that the task of this start has succeeded.
TaskFinished SuccessOf(const Start& start, std::string result) {
  TaskFinished finished;
  finished.report.task = start.task;
  finished.report.state = StartedState::kFinished;
  finished.report.outcome = TaskOutcome::kSucceeded;
  finished.report.result = Payload::FromBytes(std::move(result));
  finished.report.result_kept = true;
  finished.report.start = {start.ballot, start.attempt};
  return finished;
}

// Guards against memory that no gauge shows: jobs must be counted while they
// are held, and their answers from then on.
TEST(MemoryUseTest, CountsJobsUntilTheyAreAnsweredAndThenTheAnswers) {
  EntryHarness harness(1, 1);
  EXPECT_EQ(harness.memory_use().jobs_at_home, 0U);
  const std::vector<SendToAgent> starts =
      StartsIn(harness.Submit(1, 1, std::chrono::seconds(2)));
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_GT(harness.memory_use().jobs_at_home, sizeof(TaskRequest));
  EXPECT_EQ(harness.memory_use().kept_answers, 0U);
  const Start& start = std::get<Start>(starts.front().message);
  harness.Handle(AgentMessageReceived{
      starts.front().to, SuccessOf(start, std::string(kBodyBytes, 'r'))});
  EXPECT_EQ(harness.memory_use().jobs_at_home, 0U);
  EXPECT_GT(harness.memory_use().kept_answers, kBodyBytes);
}

}  // namespace
}  // namespace dandelionspur
