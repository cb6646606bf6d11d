#include "libraries/entry_core/answer_times.h"

#include <gtest/gtest.h>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

// Why a job is still undecided shortly before its deadline.
enum class DelayCause {
  // The only upstream has no free slot.
  kUpstreamFull,
  // The task was started and does not complete.
  kHangingTask,
  // The job is refused immediately, but no process confirms that it has not
  // run.
  kUnconfirmed,
};

struct AnswerCase {
  const char* name;
  DelayCause cause;
  std::int64_t allowed_ms;
  Verdict verdict;
  Reason reason;
};

class AnswerTimesTest : public testing::TestWithParam<AnswerCase> {
 protected:
  // Submits the job and advances time by `end`. Returns all effects.
  std::vector<EntryEffect> RunUntil(Duration end) {
    const AnswerCase& tested = this->GetParam();
    std::uint32_t tasks = 1;
    if (tested.cause == DelayCause::kUpstreamFull) {
      this->harness.SendHeartbeat(this->harness.Agent(0),
                                  this->harness.Load(1, 0));
    }
    if (tested.cause == DelayCause::kUnconfirmed) {
      this->harness.WithholdConfirmations();
      tasks = kMaximumTasksPerJob + 1;
    }
    std::vector<EntryEffect> effects =
        this->harness.Submit(1, tasks, milliseconds(tested.allowed_ms));
    for (EntryEffect& effect : this->harness.Advance(end)) {
      effects.push_back(std::move(effect));
    }
    return effects;
  }

  EntryHarness harness{1, 1};
};

// Guards against decisions that are made only at the deadline: their answers
// arrive after it, when the caller has closed its request.
TEST_P(AnswerTimesTest, HomeAnswersBeforeTheDeadline) {
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

// Guards against jobs that are given up although their callers would still wait
// for the answer.
TEST_P(AnswerTimesTest, HomeDoesNotAnswerLongBeforeTheDeadline) {
  const AnswerCase& tested = this->GetParam();
  const Duration allowed = milliseconds(tested.allowed_ms);
  const Duration longest_lead =
      std::min(kRefusalLead + kDecisionDelay, allowed / 2);
  EXPECT_TRUE(AnswersIn(this->RunUntil(allowed - longest_lead)).empty());
}

INSTANTIATE_TEST_SUITE_P(
    DelayCauses, AnswerTimesTest,
    testing::Values(
        AnswerCase{"QueuedBehindAFullUpstream", DelayCause::kUpstreamFull, 2000,
                   Verdict::kNotRun, Reason::kDeadlineExceeded},
        AnswerCase{"QueuedWithAShortDeadline", DelayCause::kUpstreamFull, 200,
                   Verdict::kNotRun, Reason::kDeadlineExceeded},
        AnswerCase{"StartedOnAnUpstreamThatHangs", DelayCause::kHangingTask,
                   2000, Verdict::kMayHaveRun, Reason::kDeadlineExceeded},
        AnswerCase{"RefusedWithoutConfirmation", DelayCause::kUnconfirmed, 2000,
                   Verdict::kMayHaveRun, Reason::kImpossibleJob}),
    [](const auto& tested) { return std::string(tested.param.name); });

// The entry under test and its only peer.
const EntryId kSelf(1);
const EntryId kPeer(2);

// The peer is the home of about half of all keys. It sends heartbeats but does
// not answer relays.
class UnresponsiveHomeTest : public testing::Test {
 protected:
  UnresponsiveHomeTest() : entry(Settings()) {
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

  // Submits jobs until one of them is relayed. Returns the id of its request.
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

  // Advances time by `step` with ticks and heartbeats of the peer.
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

// Guards against answers that reach callers only after their deadline: an
// overloaded home does not answer relays.
TEST_F(UnresponsiveHomeTest, RelayingEntryAnswersBeforeTheDeadline) {
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

// Guards against late jobs that stay queued until their deadline although they
// cannot start before it: in a burst, jobs that can still meet their objective
// are served first.
TEST(UnservableJobTest, IsRefusedOnceItCannotStartBeforeItsDeadline) {
  EntryHarness harness(1, 1);
  harness.SendHeartbeat(harness.Agent(0), harness.Load(1, 0));
  const std::vector<EntryEffect> submitted =
      harness.Submit(1, 1, milliseconds(4000), milliseconds(300));
  EXPECT_TRUE(AnswersIn(submitted).empty());
  // The job has missed its objective but can still meet its deadline.
  EXPECT_TRUE(AnswersIn(harness.Advance(milliseconds(1500))).empty());
  constexpr std::uint32_t kManyTasks = 30;
  harness.Submit(2, kManyTasks, std::chrono::seconds(20));
  const std::vector<AnswerCaller> answers =
      AnswersIn(harness.Advance(milliseconds(50)));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.front().request, RequestId(1));
  EXPECT_EQ(answers.front().answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(answers.front().answer.reason, Reason::kDeadlineTooShort);
}

}  // namespace
}  // namespace dandelionspur
