#include "libraries/entry_core/job_preview.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <ostream>
#include <string>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kAgents = 4;
constexpr std::uint32_t kSlots = 2;
constexpr std::uint64_t kAllStartsSeen = 1'000'000;

struct PreviewCase {
  std::string name;
  // Brings the system into the state.
  std::function<void(EntryHarness&)> prepare;
  Duration time_allowed = seconds(5);
  JobOutlook outlook = JobOutlook::kStarts;
  // The number of upstreams with this verdict.
  CandidateVerdict verdict = CandidateVerdict::kCandidate;
  std::int64_t count = 0;
};

void PrintTo(const PreviewCase& preview, std::ostream* out) {
  *out << preview.name;
}

void Fill(EntryHarness& harness, std::uint32_t agents) {
  for (std::uint32_t i = 0; i < agents; ++i) {
    harness.SendHeartbeat(harness.Agent(i),
                          harness.Load(kSlots, kAllStartsSeen));
  }
}

void Leave(EntryHarness& harness) {
  harness.Handle(AgentMessageReceived{harness.Agent(0), AgentLeaving{}});
}

void Disconnect(EntryHarness& harness) {
  harness.Handle(AgentDisconnected{harness.Agent(1)});
}

void BreakContact(EntryHarness& harness) {
  for (const SendToAgent& sent : StartsIn(harness.Submit(1, 1, seconds(5)))) {
    harness.RefuseStart(sent, Reason::kUpstreamUnreachable,
                        harness.Load(0, kAllStartsSeen));
  }
}

void Overload(EntryHarness& harness) {
  Fill(harness, kAgents);
  harness.Submit(1, 800, seconds(60));
}

class JobPreviewTest : public testing::Test,
                       public testing::WithParamInterface<PreviewCase> {
 protected:
  static constexpr std::uint64_t kJob = 77;
  EntryHarness harness{kAgents, kSlots};
};

// Guards against a preview that decides otherwise than the entry does.
TEST_P(JobPreviewTest, AgreesWithWhatHappens) {
  GetParam().prepare(this->harness);
  const CallerSubmitted submitted =
      HarnessSubmission(kJob, 1, GetParam().time_allowed, Duration());
  this->harness.Preview(submitted.job);
  const JobPreview preview = this->harness.Preview(submitted.job);
  EXPECT_EQ(preview.outlook, GetParam().outlook);
  const auto& candidates = preview.placement.candidates;
  EXPECT_EQ(std::count_if(candidates.begin(), candidates.end(),
                          [](const CandidatePreview& candidate) {
                            return candidate.verdict == GetParam().verdict;
                          }),
            GetParam().count);
  const std::vector<EntryEffect> effects = this->harness.Handle(submitted);
  const std::vector<SendToAgent> starts = StartsIn(effects);
  ASSERT_EQ(starts.size(), preview.outlook == JobOutlook::kStarts ? 1U : 0U);
  if (!starts.empty()) {
    EXPECT_EQ(starts[0].to, preview.placement.chosen);
    EXPECT_EQ(std::get<Start>(starts[0].message).PlacedFor(),
              preview.placement.reason);
  }
  const std::vector<AnswerCaller> answers = AnswersIn(effects);
  ASSERT_EQ(answers.size(), preview.outlook == JobOutlook::kRefused ? 1U : 0U);
  if (answers.empty()) return;
  EXPECT_EQ(answers[0].answer.reason, preview.refusal);
  EXPECT_EQ(answers[0].answer.retry_after, preview.retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    States, JobPreviewTest,
    testing::Values(
        PreviewCase{"AllFree", [](EntryHarness&) {}, seconds(5),
                    JobOutlook::kStarts, CandidateVerdict::kCandidate, 3},
        PreviewCase{"TwoFull", [](EntryHarness& harness) { Fill(harness, 2); },
                    seconds(5), JobOutlook::kStarts, CandidateVerdict::kFull,
                    2},
        PreviewCase{
            "AllFull", [](EntryHarness& harness) { Fill(harness, kAgents); },
            seconds(5), JobOutlook::kWaits, CandidateVerdict::kFull, kAgents},
        PreviewCase{"OneLeaves", Leave, seconds(5), JobOutlook::kStarts,
                    CandidateVerdict::kLeaving, 1},
        PreviewCase{"OneDisconnected", Disconnect, seconds(5),
                    JobOutlook::kStarts, CandidateVerdict::kDisconnected, 1},
        PreviewCase{"OneUnreachable", BreakContact, seconds(5),
                    JobOutlook::kStarts, CandidateVerdict::kPaused, 1},
        PreviewCase{"QueueTooLong", Overload, milliseconds(500),
                    JobOutlook::kRefused, CandidateVerdict::kFull, kAgents}),
    [](const auto& item) { return item.param.name; });

}  // namespace
}  // namespace dandelionspur
