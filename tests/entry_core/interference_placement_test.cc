#include <gtest/gtest.h>

#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr JobGroupId::ValueType kHurt = 7;
constexpr JobGroupId::ValueType kNoisy = 9;
constexpr std::uint32_t kAgents = 4;
constexpr std::uint32_t kSlots = 4;
constexpr std::uint64_t kAllStartsSeen = 1'000'000;

struct PlacementCase {
  std::string name;
  std::string interference;
  // Where the noisy group runs, as the agents report, and which are full.
  std::set<std::uint32_t> noisy;
  std::set<std::uint32_t> full;
  // Where the other group's task may start.
  std::set<std::uint32_t> expected;
  bool kept_apart = false;
};

void PrintTo(const PlacementCase& placement, std::ostream* out) {
  *out << placement.name;
}

// A home with four upstreams that has seen tasks of one group take twice as
// long beside those of another one.
class InterferencePlacementTest
    : public testing::Test,
      public testing::WithParamInterface<PlacementCase> {
 protected:
  void PutInForce(const std::string& interference) {
    this->harness.Handle(DocumentRead{
        {ServiceName("s"), DocumentVersion(2),
         R"({"service": "s", "owner": "o", "order": "least_slack",)"
         R"("maximum_queued_tasks": 1000000, "interference": ")" +
             interference + "\"}"}});
  }
  void Learn() {
    constexpr int kRounds = 12;
    for (int round = 0; round < kRounds; ++round) {
      for (std::uint32_t agent = 0; agent < kAgents; ++agent) {
        std::set<std::uint32_t> others;
        for (std::uint32_t other = 0; other < kAgents; ++other) {
          if (other != agent) others.insert(other);
        }
        this->Report({}, others);
        this->RunOne(milliseconds(100), {});
        this->Report({}, others);
        this->RunOne(milliseconds(200), {JobGroupId(kNoisy)});
      }
    }
    this->harness.Advance(milliseconds(600));
  }
  void Report(const std::set<std::uint32_t>& noisy,
              const std::set<std::uint32_t>& full) {
    for (std::uint32_t i = 0; i < kAgents; ++i) {
      const std::uint32_t running = full.contains(i) ? kSlots : 1;
      AgentHeartbeat heartbeat{this->harness.Load(running, kAllStartsSeen),
                               this->harness.now()};
      if (noisy.contains(i)) heartbeat.running_groups = {JobGroupId(kNoisy)};
      this->harness.Handle(
          AgentMessageReceived{this->harness.Agent(i), heartbeat});
    }
  }
  std::vector<SendToAgent> Submit() {
    CallerSubmitted submitted;
    submitted.request = RequestId(++this->jobs);
    submitted.job.key = HarnessKey(this->jobs);
    submitted.job.service = ServiceName("s");
    submitted.job.client_account = ClientAccount("t");
    submitted.job.group = JobGroupId(kHurt);
    submitted.job.time_allowed = std::chrono::seconds(5);
    submitted.job.rerun = RerunPolicy::kAfterLease;
    submitted.job.tasks.resize(
        1, TaskRequest{Payload(), milliseconds(100), kOneSlot});
    return StartsIn(this->harness.Handle(submitted));
  }
  void RunOne(Duration elapsed, const std::vector<JobGroupId>& neighbours) {
    const std::vector<SendToAgent> starts = this->Submit();
    ASSERT_EQ(starts.size(), 1U);
    const Start& start = std::get<Start>(starts[0].message);
    TaskFinished finished;
    finished.report.task = start.task;
    finished.report.state = StartedState::kFinished;
    finished.report.outcome = TaskOutcome::kSucceeded;
    finished.report.result_kept = true;
    finished.report.start = start.Number();
    finished.elapsed = elapsed;
    finished.load = this->harness.Load(1, kAllStartsSeen);
    finished.neighbours = neighbours;
    this->harness.Handle(AgentMessageReceived{starts[0].to, finished});
  }

  EntryHarness harness{kAgents, kSlots};
  std::uint64_t jobs = 0;
};

TEST_P(InterferencePlacementTest, StartsTheTaskWithoutDelay) {
  this->PutInForce(GetParam().interference);
  this->Learn();
  this->Report(GetParam().noisy, GetParam().full);
  const std::vector<SendToAgent> starts = this->Submit();
  ASSERT_EQ(starts.size(), 1U);
  const Start& start = std::get<Start>(starts[0].message);
  std::uint32_t chosen = 0;
  while (this->harness.Agent(chosen) != starts[0].to) ++chosen;
  EXPECT_TRUE(GetParam().expected.contains(chosen)) << chosen;
  EXPECT_EQ(start.PlacedFor() == PlacementReason::kKeptApart,
            GetParam().kept_apart);
  EXPECT_EQ(start.report_neighbours, GetParam().interference == "keep_apart");
}

INSTANTIATE_TEST_SUITE_P(
    Homes, InterferencePlacementTest,
    testing::Values(
        PlacementCase{"RoomElsewhere", "keep_apart", {0, 1, 2}, {}, {3}, true},
        PlacementCase{
            "NoneElsewhere", "keep_apart", {0, 1, 2, 3}, {}, {0, 1, 2, 3}},
        PlacementCase{"NoRoomElsewhere", "keep_apart", {0}, {1, 2, 3}, {0}},
        PlacementCase{"NobodyNoisy", "keep_apart", {}, {}, {0, 1, 2, 3}},
        PlacementCase{"SwitchedOff", "ignore", {0, 1, 2}, {}, {0, 1, 2, 3}}),
    [](const auto& item) { return item.param.name; });

}  // namespace
}  // namespace dandelionspur
