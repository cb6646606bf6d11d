#include "libraries/entry_core/answer_times.h"

#include <gtest/gtest.h>

#include "tests/support/entry_stage.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

// What holds a job up until its caller can't wait any longer.
enum class Obstacle {
  // Its only upstream is full.
  kNoRoom,
  // It was started and does not end.
  kHangingTask,
  // It is refused at once, and nobody confirms that it has not run.
  kUnconfirmed,
};

struct AnswerCase {
  const char* name;
  Obstacle obstacle;
  std::int64_t allowed_ms;
  Verdict verdict;
  Reason reason;
};

class AnswerTimesTest : public testing::TestWithParam<AnswerCase> {
 protected:
  // Submits the job; returns what follows until `end`.
  std::vector<EntryEffect> RunUntil(Duration end) {
    const AnswerCase& tested = this->GetParam();
    std::uint32_t tasks = 1;
    if (tested.obstacle == Obstacle::kNoRoom) {
      this->stage.TellLoad(this->stage.Agent(0), this->stage.Load(1, 0));
    }
    if (tested.obstacle == Obstacle::kUnconfirmed) {
      this->stage.WithholdConfirmations();
      tasks = kMaximumTasksPerJob + 1;
    }
    std::vector<EntryEffect> effects =
        this->stage.Submit(1, tasks, milliseconds(tested.allowed_ms));
    for (EntryEffect& effect : this->stage.Advance(end)) {
      effects.push_back(std::move(effect));
    }
    return effects;
  }

  EntryStage stage{1, 1};
};

// A caller that has left gets no answer: guards against decisions at the
// deadline, which arrive after it.
TEST_P(AnswerTimesTest, TheHomeAnswersBeforeTheDeadline) {
  const AnswerCase& tested = this->GetParam();
  const Duration allowed = milliseconds(tested.allowed_ms);
  const Duration lead =
      Timestamp() - DecideBy(Timestamp(), allowed, kCallerAnswerLead);
  const std::vector<AnswerCaller> answers =
      AnswersIn(this->RunUntil(allowed - lead));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().answer.verdict, tested.verdict);
  EXPECT_EQ(answers.front().answer.reason, tested.reason);
}

// Guards against jobs that are given up while their callers still wait.
TEST_P(AnswerTimesTest, AndNotLongBeforeIt) {
  const AnswerCase& tested = this->GetParam();
  const Duration allowed = milliseconds(tested.allowed_ms);
  const Duration longest_lead =
      std::min(kRefusalLead + kDecisionDelay, allowed / 2);
  EXPECT_TRUE(AnswersIn(this->RunUntil(allowed - longest_lead)).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Obstacles, AnswerTimesTest,
    testing::Values(
        AnswerCase{"QueuedBehindAFullUpstream", Obstacle::kNoRoom, 2000,
                   Verdict::kNotRun, Reason::kDeadlineExceeded},
        AnswerCase{"QueuedWithAShortDeadline", Obstacle::kNoRoom, 200,
                   Verdict::kNotRun, Reason::kDeadlineExceeded},
        AnswerCase{"StartedOnAnUpstreamThatHangs", Obstacle::kHangingTask, 2000,
                   Verdict::kMayHaveRun, Reason::kDeadlineExceeded},
        AnswerCase{"RefusedWithoutProof", Obstacle::kUnconfirmed, 2000,
                   Verdict::kMayHaveRun, Reason::kImpossibleJob}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Two entries; this one is the first.
const EntryId kSelf(1);
const EntryId kPeer(2);

// The home of about half of all keys is another entry that says nothing.
class SilentHomeTest : public testing::Test {
 protected:
  SilentHomeTest() : entry(Settings()) {
    this->entry.Handle(ViewRead{TwoMembers()}, this->now);
    this->entry.Handle(PeerConnected{kPeer}, this->now);
    PeerState state;
    state.view = TwoMembers();
    state.synchronized = true;
    this->entry.Handle(PeerMessageReceived{kPeer, state}, this->now);
  }

  static EntryCoreSettings Settings() {
    EntryCoreSettings settings;
    settings.self = kSelf;
    settings.bucket_count = 8;
    return settings;
  }

  static View TwoMembers() {
    View view;
    for (const EntryId id : {kSelf, kPeer}) {
      ViewMember member;
      member.entry = id;
      member.peer_endpoint.port = static_cast<std::uint16_t>(id.value());
      view = WithMember(view, member, Timestamp());
    }
    return view;
  }

  // Submits jobs until one is relayed; returns its request.
  std::optional<RequestId> SubmitRelayed(Duration time_allowed) {
    constexpr std::uint64_t kTries = 64;
    for (std::uint64_t i = 1; i <= kTries; ++i) {
      CallerSubmitted submitted;
      submitted.request = RequestId(i);
      submitted.job.key = {i * 0x9E3779B97F4A7C15ULL, i};
      submitted.job.service = ServiceName("s");
      submitted.job.time_allowed = time_allowed;
      submitted.job.rerun = RerunPolicy::kAfterLease;
      submitted.job.tasks.resize(1);
      for (const EntryEffect& effect :
           this->entry.Handle(submitted, this->now)) {
        const auto* sent = std::get_if<SendToPeer>(&effect);
        if (sent != nullptr && std::holds_alternative<Relay>(sent->message)) {
          return submitted.request;
        }
      }
    }
    return std::nullopt;
  }

  // Ticks for `step`; the other entry's heartbeats go on.
  std::vector<EntryEffect> Advance(Duration step) {
    std::vector<EntryEffect> all;
    const Timestamp until = this->now + step;
    while (this->now < until) {
      this->now = std::min(until, this->now + kDecisionDelay);
      PeerHeartbeat heartbeat;
      heartbeat.epoch = TwoMembers().epoch;
      heartbeat.sent_at = this->now;
      this->entry.Handle(PeerMessageReceived{kPeer, heartbeat}, this->now);
      for (EntryEffect& effect : this->entry.Handle(EntryTick{}, this->now)) {
        all.push_back(std::move(effect));
      }
    }
    return all;
  }

  EntryCore entry;
  Timestamp now{std::chrono::seconds(1)};
};

// The home is overloaded and does not answer: guards against callers that are
// answered only after they have left.
TEST_F(SilentHomeTest, TheEntryThatTheCallerWaitsAtAnswersBeforeTheDeadline) {
  const Duration allowed = milliseconds(2000);
  const std::optional<RequestId> request = this->SubmitRelayed(allowed);
  ASSERT_TRUE(request);
  const std::vector<AnswerCaller> early =
      AnswersIn(this->Advance(allowed - kCallerAnswerLead - kDecisionDelay));
  EXPECT_TRUE(early.empty());
  std::optional<JobAnswer> given;
  for (const AnswerCaller& answer : AnswersIn(this->Advance(
           kCallerAnswerLead + kDecisionDelay - kAnswerTransit))) {
    if (answer.request == *request) given = answer.answer;
  }
  ASSERT_TRUE(given);
  EXPECT_EQ(given->verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(given->reason, Reason::kDeadlineExceeded);
}

// A burst that more jobs follow which can still be in time: guards against
// late jobs that wait for their deadlines although it is known that their turn
// can't come before.
TEST(HopelessJobTest, IsRefusedOnceItsTurnCanNotComeBeforeItsDeadline) {
  EntryStage stage(1, 1);
  stage.TellLoad(stage.Agent(0), stage.Load(1, 0));
  const std::vector<EntryEffect> submitted =
      stage.Submit(1, 1, milliseconds(4000), milliseconds(300));
  EXPECT_TRUE(AnswersIn(submitted).empty());
  // It is late, but its caller may still be served.
  EXPECT_TRUE(AnswersIn(stage.Advance(milliseconds(1500))).empty());
  constexpr std::uint32_t kLongWork = 30;
  stage.Submit(2, kLongWork, std::chrono::seconds(20));
  const std::vector<AnswerCaller> answers =
      AnswersIn(stage.Advance(milliseconds(50)));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().request, RequestId(1));
  EXPECT_EQ(answers.front().answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(answers.front().answer.reason, Reason::kDeadlineTooShort);
}

}  // namespace
}  // namespace dandelionspur
