#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/upstream_session/leased_upstream_fixture.h"

namespace dandelionspur {
namespace {

struct NoticeCase {
  std::string name;
  UpstreamIncarnation incarnation;
};

class ForeignNoticeTest : public LeasedUpstreamTest,
                          public testing::WithParamInterface<NoticeCase> {};

// Guards against two runs of a task at once: a notice of an earlier process
// under the same id that arrives late ended the session with the present one.
TEST_P(ForeignNoticeTest, LeavesTheSessionWithThePresentProcessAlone) {
  this->Announce(5);
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  this->upstream.OnGone({this->GetParam().incarnation}, this->now);
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  EXPECT_TRUE(this->Events<UpstreamContactChanged>().empty());
  ASSERT_EQ(this->All<ForeignDeparture>().size(), 1U);
  EXPECT_EQ(this->All<ForeignDeparture>()[0].sender,
            this->GetParam().incarnation);
  this->Start(2);
  EXPECT_EQ(this->All<SendStart>().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Notices, ForeignNoticeTest,
                         testing::Values(NoticeCase{"EarlierProcess",
                                                    {"i-1", 4}},
                                         NoticeCase{"LaterProcess", {"i-1", 6}},
                                         NoticeCase{"OtherId", {"i-2", 5}}),
                         [](const auto& test) { return test.param.name; });

struct OwnNoticeCase {
  std::string name;
  // The start time in the notice; 0: none.
  std::int64_t born;
  // The outcome of all list requests after the notice.
  OrderOutcome outcome;
  bool ends;
};

// The upstream sends heartbeats with its start time, and a departure notice
// under its id arrives, with the same one or without.
class OwnNoticeTest : public LeasedUpstreamTest,
                      public testing::WithParamInterface<OwnNoticeCase> {
 protected:
  void AnswerAll(const std::vector<TaskRun>& running) {
    for (const SendList& list : this->All<SendList>()) {
      if (!this->answered.insert(list.number).second) continue;
      ListAnswer answer;
      answer.answer.outcome = this->GetParam().outcome;
      answer.started_milliseconds = 5;
      answer.running = running;
      this->upstream.OnListAnswer(list.number, answer, this->now);
    }
  }
};

// Guards against two runs of a task at once: the notice may be an earlier
// process's, and an upstream that gets no answer to it goes on for a while.
// Also guards against tasks that never end after the notice.
TEST_P(OwnNoticeTest, EndsTheTasksOnlyByListsOrByTheLease) {
  this->Announce(5);
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->upstream.OnGone({{"i-1", this->GetParam().born}}, this->now);
  const SteadyTime last_order = this->now;
  const Duration lease = MaximumLeaseRunTime(Settings().maximum_lease);
  for (; this->now <= last_order + lease; this->now += milliseconds(10)) {
    this->AnswerAll({order.run});
    this->upstream.Tick(this->now);
    ASSERT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  }
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(),
            this->GetParam().ends ? 1U : 0U);
}

// Guards against an agent that asks a departed upstream for ever, and against
// one that leaves an upstream because of an earlier process's notice.
TEST_P(OwnNoticeTest, WithoutTasksOnlyAnUndatedOneNeedsAnAnswer) {
  this->Announce(5);
  this->upstream.OnGone({{"i-1", this->GetParam().born}}, this->now);
  this->AnswerAll({});
  this->upstream.Tick(this->now);
  const bool ends = this->GetParam().ends || this->GetParam().born != 0;
  EXPECT_EQ(this->All<SessionEnded>().size(), ends ? 1U : 0U);
  this->upstream.OnHeartbeat(Heartbeat(6, 1, UpstreamState::kReady), this->now);
  EXPECT_EQ(this->All<SendList>().back().receiver.incarnation,
            (UpstreamIncarnation{"i-1", 6}));
}

INSTANTIATE_TEST_SUITE_P(
    Notices, OwnNoticeTest,
    testing::Values(
        OwnNoticeCase{"UndatedRefused", 0, OrderOutcome::kConnectionRefused,
                      true},
        OwnNoticeCase{"UndatedAnswers", 0, OrderOutcome::kDone, false},
        OwnNoticeCase{"DatedRefused", 5, OrderOutcome::kConnectionRefused,
                      true},
        OwnNoticeCase{"DatedAnswers", 5, OrderOutcome::kDone, false}),
    [](const auto& test) { return test.param.name; });

// How a probe of another incarnation ends.
struct ProbeCase {
  std::string name;
  UpstreamIncarnation sender;
  OrderOutcome outcome;
  // The start time in the answer, if there is one.
  std::int64_t answered_as;
};

class UnprovenHeartbeatTest : public LeasedUpstreamTest,
                              public testing::WithParamInterface<ProbeCase> {
 protected:
  void ReceiveHeartbeat() {
    UpstreamHeartbeat heartbeat = Heartbeat(1, 1, UpstreamState::kReady);
    heartbeat.incarnation = this->GetParam().sender;
    this->upstream.OnHeartbeat(heartbeat, this->now);
    const SendList probe = this->All<SendList>().back();
    ListAnswer answer;
    answer.answer.outcome = this->GetParam().outcome;
    answer.started_milliseconds = this->GetParam().answered_as;
    this->upstream.OnListAnswer(probe.number, answer, this->now);
  }
};

// Guards against two runs of a task at once: a heartbeat that a partition has
// delayed, or that another writer has sent, ended the session with an
// incarnation that still runs its tasks.
TEST_P(UnprovenHeartbeatTest, EndsNoTaskOfThePresentIncarnation) {
  this->Announce(5);
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  const SendList list = this->All<SendList>().back();
  this->ReceiveHeartbeat();
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  EXPECT_TRUE(this->Events<UpstreamLost>().empty());
  this->Start(2);
  EXPECT_EQ(this->All<SendStart>().back().receiver.incarnation,
            (UpstreamIncarnation{"i-1", 5}));
  // The present incarnation still tells how its tasks end.
  ListAnswer ended = Ended(order.run, 1, RunOutcome::kDone);
  ended.answer.outcome = OrderOutcome::kDone;
  ended.started_milliseconds = 5;
  this->upstream.OnListAnswer(list.number, ended, this->now);
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kSucceeded);
}

INSTANTIATE_TEST_SUITE_P(
    Heartbeats, UnprovenHeartbeatTest,
    testing::Values(
        ProbeCase{"NoAnswer", {"i-1", 6}, OrderOutcome::kUnknown, 0},
        ProbeCase{"Refused", {"i-2", 6}, OrderOutcome::kConnectionRefused, 0},
        ProbeCase{"OtherId", {"i-2", 6}, OrderOutcome::kOtherIncarnation, 0},
        ProbeCase{"PresentAnswers", {"i-1", 6}, OrderOutcome::kDone, 5},
        ProbeCase{"Unhealthy", {"i-2", 5}, OrderOutcome::kRefused, 0}),
    [](const auto& test) { return test.param.name; });

struct SuccessorCase {
  std::string name;
  UpstreamIncarnation successor;
  // The start time in its answers; 0 if they have none.
  std::int64_t answers_as;
};

class SuccessorTest : public LeasedUpstreamTest,
                      public testing::WithParamInterface<SuccessorCase> {
 protected:
  [[nodiscard]] UpstreamHeartbeat SuccessorHeartbeat() const {
    UpstreamHeartbeat heartbeat = Heartbeat(1, 1, UpstreamState::kReady);
    heartbeat.incarnation = this->GetParam().successor;
    heartbeat.clock = milliseconds(100);
    return heartbeat;
  }

  // The connections of all requests to the present incarnation that have no
  // answer are refused.
  void RefuseRequestsToThePresent() {
    for (const SendList& list : this->All<SendList>()) {
      if (this->answered.contains(list.number)) continue;
      if (list.receiver.endpoint.port != kPresentPort) continue;
      this->answered.insert(list.number);
      ListAnswer refused;
      refused.answer.outcome = OrderOutcome::kConnectionRefused;
      this->upstream.OnListAnswer(list.number, refused, this->now);
    }
  }

  static constexpr std::uint16_t kPresentPort = 80;

  // The successor announces itself and answers at the same address.
  void Succeed() {
    this->upstream.OnHeartbeat(this->SuccessorHeartbeat(), this->now);
    this->AnswerListAs(this->GetParam().answers_as);
  }
};

// Guards against an upstream that is ignored for ever because the time of day
// was set back before it started.
TEST_P(SuccessorTest, IsAdoptedOnceItAnswersWhicheverClockItHas) {
  this->Announce(5);
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  this->Succeed();
  this->AnswerListAs(this->GetParam().answers_as);
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kBroken);
  ASSERT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
  EXPECT_EQ(this->Events<UpstreamAnnounced>()[1].description.upstream,
            this->GetParam().successor.id);
  ASSERT_EQ(this->All<SessionEnded>().size(), 1U);
  EXPECT_EQ(this->All<SessionEnded>()[0].evidence,
            SessionEndEvidence::kSuccessorAnswered);
  EXPECT_EQ(this->All<SessionEnded>()[0].tasks_running, 1U);
}

// Guards against two runs of a task at once: a successor that had received the
// start order before its first heartbeat arrived ran the task, and the agent
// reported it as broken.
TEST_P(SuccessorTest, KeepsATaskThatItHasStartedItself) {
  this->Announce(5);
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->Succeed();
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  ListAnswer list;
  list.started_milliseconds = this->GetParam().answers_as;
  list.running.push_back(order.run);
  EXPECT_GT(this->All<SendList>().back().order.token, order.token);
  EXPECT_FALSE(this->All<SendList>().back().order.lease_until.has_value());
  this->AnswerList(list);
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  EXPECT_TRUE(this->All<SendStop>().empty());
  this->now += milliseconds(60);
  this->upstream.Tick(this->now);
  EXPECT_TRUE(this->All<SendList>().back().order.lease_until.has_value());
  ListAnswer ended = Ended(order.run, 1, RunOutcome::kDone);
  ended.started_milliseconds = this->GetParam().answers_as;
  this->AnswerList(ended);
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kSucceeded);
}

// Guards against leases by the clock of an earlier incarnation: an answer to a
// start that was sent to it arrives late.
TEST_P(SuccessorTest, LateAnswersOfThePredecessorDoNotSetTheClock) {
  this->Announce(5);
  const StartOrder order = this->Start(1);
  this->Succeed();
  this->AnswerListAs(this->GetParam().answers_as);
  this->upstream.OnStartAnswer(
      order, {OrderOutcome::kDone, milliseconds(51'000)}, this->now);
  EXPECT_EQ(this->Start(2).lease_until, milliseconds(1100));
}

// Guards against two runs of a task at once: a process that answers at another
// address does not show that the present one has ended.
TEST_P(SuccessorTest, AtAnotherAddressItEndsNoTaskBeforeTheLeasesExpire) {
  this->Announce(5);
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  UpstreamHeartbeat heartbeat = this->SuccessorHeartbeat();
  heartbeat.endpoint.port = kPresentPort + 1;
  const SteadyTime last_order = this->now;
  this->upstream.OnHeartbeat(heartbeat, this->now);
  this->AnswerListAs(this->GetParam().answers_as);
  const Duration lease = MaximumLeaseRunTime(Settings().maximum_lease);
  for (; this->now <= last_order + lease; this->now += milliseconds(10)) {
    this->RefuseRequestsToThePresent();
    this->upstream.Tick(this->now);
    ASSERT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  }
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->All<SendList>().back().receiver.endpoint, heartbeat.endpoint);
  this->AnswerListAs(this->GetParam().answers_as);
  EXPECT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Successors, SuccessorTest,
    testing::Values(SuccessorCase{"SameIdLater", {"i-1", 6}, 6},
                    SuccessorCase{"SameIdEarlierClock", {"i-1", 4}, 4},
                    SuccessorCase{"OtherIdLater", {"i-2", 6}, 6},
                    SuccessorCase{"OtherIdEarlierClock", {"i-2", 4}, 4},
                    SuccessorCase{"OtherIdWithoutStartTime", {"i-2", 0}, 0}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace dandelionspur
