#include "libraries/upstream_session/leased_upstream.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/upstream_session/leased_upstream_fixture.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

TEST_F(LeasedUpstreamTest,
       AnnouncesOnlyAfterRunsOfAnEarlierProcessHaveStopped) {
  this->upstream.OnHeartbeat(Heartbeat(1, 1, UpstreamState::kReady), this->now);
  ListAnswer earlier_runs;
  earlier_runs.running.push_back({"old.0.0.0", RunNumber(1)});
  this->AnswerList(earlier_runs);
  EXPECT_TRUE(this->Events<UpstreamAnnounced>().empty());
  ASSERT_EQ(this->All<SendStop>().size(), 1U);
  EXPECT_EQ(this->All<SendStop>()[0].order.run.task, "old.0.0.0");
  this->now += milliseconds(60);
  this->upstream.Tick(this->now);
  this->AnswerList({});
  EXPECT_EQ(this->Events<UpstreamAnnounced>().size(), 1U);
}

TEST_F(LeasedUpstreamTest,
       ACompletionIsReportedOnceAndAcknowledgedWithTheNextList) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->AnswerList(Ended(order.run, 7, RunOutcome::kDone));
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kSucceeded);
  this->Start(2);
  EXPECT_EQ(this->All<SendList>().back().order.acknowledged,
            CompletionNumber(7));
}

// The upstream announces another capacity while a task runs and another start
// order is unanswered.
class SessionCapacityTest : public LeasedUpstreamTest,
                            public testing::WithParamInterface<std::uint64_t> {
 protected:
  void ChangeCapacity() {
    UpstreamHeartbeat changed = Heartbeat(1, 2, UpstreamState::kReady);
    changed.capacity.millicores = this->GetParam();
    this->upstream.OnHeartbeat(changed, this->now);
  }
};

// Guards against starts by an outdated capacity, and against a start that is
// lost or ordered twice since the upstream was announced again.
TEST_P(SessionCapacityTest, IsAnnouncedAtOnceAndLeavesTheStartsAlone) {
  this->Announce();
  const StartOrder running = this->Start(1);
  this->AnswerStart(running, OrderOutcome::kDone);
  const StartOrder unanswered = this->Start(2);
  this->ChangeCapacity();
  ASSERT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
  EXPECT_EQ(
      this->Events<UpstreamAnnounced>().back().description.capacity.millicores,
      this->GetParam());
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  this->AnswerStart(unanswered, OrderOutcome::kDone);
  EXPECT_EQ(this->All<SendStart>().size(), 2U);
  ListAnswer ended = Ended(running.run, 1, RunOutcome::kDone);
  ended.completed.push_back(
      {CompletionNumber(2), unanswered.run, RunOutcome::kDone});
  this->AnswerList(ended);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 2U);
}

// Guards against starts for an upstream that sends heartbeats but answers no
// call: a changed capacity is no answer.
TEST_P(SessionCapacityTest, DoesNotMakeASilentUpstreamCountAsAnswering) {
  this->Announce();
  this->Start(1);
  this->now += milliseconds(700);
  this->upstream.Tick(this->now);
  ASSERT_EQ(this->Events<UpstreamContactChanged>().size(), 1U);
  this->ChangeCapacity();
  ASSERT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
  const AgentEvent last = this->All<AgentEvent>().back();
  const auto* contact = std::get_if<UpstreamContactChanged>(&last);
  ASSERT_NE(contact, nullptr);
  EXPECT_EQ(contact->contact, UpstreamContact::kSilent);
}

INSTANTIATE_TEST_SUITE_P(Millicores, SessionCapacityTest,
                         testing::Values(2000, 16'000));

struct RefusalCase {
  const char* name;
  OrderOutcome outcome;
  // The result that completes the task; nothing if the order is sent again.
  std::optional<UpstreamResult> result;
};

class StartRefusalTest : public LeasedUpstreamTest,
                         public testing::WithParamInterface<RefusalCase> {};

TEST_P(StartRefusalTest, CompletesTheTaskOrRepeatsTheOrder) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, this->GetParam().outcome);
  const std::vector<UpstreamTaskCompleted> ended =
      this->Events<UpstreamTaskCompleted>();
  if (this->GetParam().result) {
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result, *this->GetParam().result);
    return;
  }
  EXPECT_TRUE(ended.empty());
  ASSERT_EQ(this->All<SendStart>().size(), 2U);
  const StartOrder again = this->All<SendStart>()[1].order;
  const bool higher_token = again.token > order.token;
  const bool higher_run = again.run.run > order.run.run;
  EXPECT_EQ(higher_token, this->GetParam().outcome == OrderOutcome::kFenced);
  EXPECT_EQ(higher_run,
            this->GetParam().outcome == OrderOutcome::kStaleRunNumber);
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes, StartRefusalTest,
    testing::Values(
        RefusalCase{"Fenced", OrderOutcome::kFenced, std::nullopt},
        RefusalCase{"OldRun", OrderOutcome::kStaleRunNumber, std::nullopt},
        RefusalCase{"Late", OrderOutcome::kLeaseExpired, std::nullopt},
        RefusalCase{"NoRoom", OrderOutcome::kNoCapacity,
                    UpstreamResult::kNoRoom},
        RefusalCase{"Refused", OrderOutcome::kRefused,
                    UpstreamResult::kNotSent},
        RefusalCase{"NotSent", OrderOutcome::kNotSent,
                    UpstreamResult::kNotSent},
        RefusalCase{"ConnectionRefused", OrderOutcome::kConnectionRefused,
                    UpstreamResult::kNotSent},
        RefusalCase{"OtherIncarnation", OrderOutcome::kOtherIncarnation,
                    UpstreamResult::kNotSent}),
    [](const auto& tested) { return std::string(tested.param.name); });

// A start order without an answer may be carried out seconds later; only a list
// under a higher token proves that it will not be.
TEST_F(LeasedUpstreamTest,
       AnUnansweredOrderIsResolvedByAListUnderAHigherToken) {
  this->Announce();
  const StartOrder order = this->Start(1);
  // A list requested before the order failed proves nothing.
  const std::vector<SendList> before = this->All<SendList>();
  this->AnswerStart(order, OrderOutcome::kUnknown);
  ListAnswer empty;
  empty.answer.outcome = OrderOutcome::kDone;
  this->upstream.OnListAnswer(before.back().number, empty, this->now);
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  EXPECT_GT(this->All<SendList>().back().order.token, order.token);
  this->AnswerList({});
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kUnanswered);
}

TEST_F(LeasedUpstreamTest, AnUnansweredOrderThatWasCarriedOutKeepsRunning) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kUnknown);
  ListAnswer list;
  list.running.push_back(order.run);
  this->AnswerList(list);
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  this->AnswerList(Ended(order.run, 1, RunOutcome::kDone));
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kSucceeded);
}

TEST_F(LeasedUpstreamTest, WithoutPermissionTheLeaseIsNotExtended) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  EXPECT_TRUE(this->All<SendList>().back().order.lease_until.has_value());
  this->upstream.SetLeaseRenewal(LeaseRenewal::kSuspended);
  ListAnswer list;
  list.running.push_back(this->All<SendStart>().back().order.run);
  this->AnswerList(list);
  EXPECT_FALSE(this->All<SendList>().back().order.lease_until.has_value());
}

// A start grants a lease, as a renewal does.
TEST_F(LeasedUpstreamTest, WithoutPermissionNothingIsStarted) {
  this->Announce();
  this->upstream.SetLeaseRenewal(LeaseRenewal::kSuspended);
  this->upstream.Run(Wanted(1), this->now);
  EXPECT_TRUE(this->All<SendStart>().empty());
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kNoContact);
}

TEST_F(LeasedUpstreamTest, WithoutPermissionAnOrderIsNotRepeated) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->upstream.SetLeaseRenewal(LeaseRenewal::kSuspended);
  this->AnswerStart(order, OrderOutcome::kLeaseExpired);
  EXPECT_EQ(this->All<SendStart>().size(), 1U);
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kNoContact);
}

// A lost answer to a list request hides completions. It must not make the
// upstream count as unresponsive, since a busy upstream would then get no new
// tasks.
TEST_F(LeasedUpstreamTest, AListIsRequestedAgainAtOnceAfterALostAnswer) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->upstream.Tick(this->now);
  const std::size_t requested = this->All<SendList>().size();
  this->now += Settings().list_poll_timeout + milliseconds(50);
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->All<SendList>().size(), requested);
  this->now += milliseconds(50);
  this->upstream.Tick(this->now);
  ASSERT_EQ(this->All<SendList>().size(), requested + 1);
  EXPECT_EQ(this->All<SendList>().back().order.poll_timeout, Duration());
  this->AnswerList(Ended(order.run, 1, RunOutcome::kDone));
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  this->now += milliseconds(200);
  this->upstream.Tick(this->now);
  EXPECT_TRUE(this->Events<UpstreamContactChanged>().empty());
}

TEST_F(LeasedUpstreamTest,
       TasksOfAnUnresponsiveUpstreamCompleteOnceTheLeaseMustHaveExpired) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  std::size_t steps = 0;
  constexpr std::size_t kMaximumSteps = 200;
  while (this->Events<UpstreamTaskCompleted>().empty() &&
         ++steps < kMaximumSteps) {
    this->now += milliseconds(50);
    this->upstream.Tick(this->now);
  }
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kBroken);
  // The last order may have extended the lease, and the upstream's clock may be
  // 2% slow.
  SteadyTime last_order{std::chrono::seconds(1000)};
  EXPECT_GE(this->now - last_order, milliseconds(1020));
  ASSERT_FALSE(this->Events<UpstreamContactChanged>().empty());
  EXPECT_EQ(this->Events<UpstreamContactChanged>().back().contact,
            UpstreamContact::kSilent);
}

TEST_F(LeasedUpstreamTest, ANewIncarnationCompletesTheTasksOfTheFirst) {
  this->Announce(1);
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  this->upstream.OnHeartbeat(Heartbeat(2, 1, UpstreamState::kReady), this->now);
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  this->AnswerListAs(2);
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
  this->AnswerListAs(2);
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kBroken);
  EXPECT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
  // A delayed heartbeat of the first incarnation.
  this->upstream.OnHeartbeat(Heartbeat(1, 9, UpstreamState::kReady), this->now);
  EXPECT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
}

TEST_F(LeasedUpstreamTest, LeavingIsReportedOnceAndAReturnIsAnnounced) {
  this->Announce();
  for (const std::uint64_t sequence : {2, 3}) {
    this->upstream.OnHeartbeat(Heartbeat(1, sequence, UpstreamState::kLeaving),
                               this->now);
  }
  EXPECT_EQ(this->Events<UpstreamLeaving>().size(), 1U);
  this->upstream.OnHeartbeat(Heartbeat(1, 4, UpstreamState::kReady), this->now);
  EXPECT_EQ(this->Events<UpstreamAnnounced>().size(), 2U);
}

TEST_F(LeasedUpstreamTest, AGoneMessageEndsTheSessionOfAnIdleUpstream) {
  this->Announce();
  this->upstream.OnGone({{"i-2", 1}}, this->now);
  EXPECT_TRUE(this->All<SessionEnded>().empty());
  this->upstream.OnGone({{"i-1", 1}}, this->now);
  EXPECT_EQ(this->All<SessionEnded>().size(), 1U);
  this->upstream.Run(Wanted(2), this->now);
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().back().result,
            UpstreamResult::kNotSent);
}

struct LossCase {
  std::string name;
  UpstreamState state;
  LeaseRenewal renewal;
  // How the upstream ends.
  bool returns_as_new_incarnation;
  // The outcome of the lists that are requested after a failed one.
  OrderOutcome outcome;
  std::vector<LossEvidence> expected;
};

class UpstreamLossTest : public LeasedUpstreamTest,
                         public testing::WithParamInterface<LossCase> {};

// Guards against tasks that crash upstreams without being counted, and against
// counting planned ends, leases that expired because the agent was frozen, and
// upstreams that only don't answer: sound jobs failed after two such.
TEST_P(UpstreamLossTest, OnlyAnUnplannedEndIsReportedAsALoss) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  this->upstream.OnHeartbeat(Heartbeat(1, 2, this->GetParam().state),
                             this->now);
  this->upstream.SetLeaseRenewal(this->GetParam().renewal);
  if (this->GetParam().returns_as_new_incarnation) {
    this->upstream.OnHeartbeat(Heartbeat(2, 1, UpstreamState::kReady),
                               this->now);
    this->AnswerListAs(2);
    this->AnswerListAs(2);
  } else {
    this->FailList(OrderOutcome::kUnknown);
    this->FailList(this->GetParam().outcome);
    this->now += std::chrono::seconds(3);
    this->upstream.Tick(this->now);
  }
  std::vector<LossEvidence> seen_evidence;
  for (const UpstreamLost& lost : this->Events<UpstreamLost>()) {
    EXPECT_EQ(lost.upstream, "i-1");
    seen_evidence.push_back(lost.evidence);
  }
  EXPECT_EQ(seen_evidence, this->GetParam().expected);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, UpstreamLossTest,
    testing::Values(LossCase{"NewIncarnation",
                             UpstreamState::kReady,
                             LeaseRenewal::kAllowed,
                             true,
                             OrderOutcome::kConnectionRefused,
                             {LossEvidence::kNewIncarnation}},
                    LossCase{"Refused",
                             UpstreamState::kReady,
                             LeaseRenewal::kAllowed,
                             false,
                             OrderOutcome::kConnectionRefused,
                             {LossEvidence::kSilent}},
                    LossCase{"OnlySilent",
                             UpstreamState::kReady,
                             LeaseRenewal::kAllowed,
                             false,
                             OrderOutcome::kUnknown,
                             {}},
                    LossCase{"RefusedAfterLeaving",
                             UpstreamState::kLeaving,
                             LeaseRenewal::kAllowed,
                             false,
                             OrderOutcome::kConnectionRefused,
                             {}},
                    LossCase{"RestartAfterLeaving",
                             UpstreamState::kLeaving,
                             LeaseRenewal::kAllowed,
                             true,
                             OrderOutcome::kConnectionRefused,
                             {}},
                    LossCase{"AgentOutOfContact",
                             UpstreamState::kReady,
                             LeaseRenewal::kSuspended,
                             false,
                             OrderOutcome::kConnectionRefused,
                             {}}),
    [](const auto& test) { return test.param.name; });

struct BreakCase {
  std::string name;
  UpstreamState state;
  // Outcomes of the list requests, in order; kDone for an answer.
  std::vector<OrderOutcome> outcomes;
  std::size_t expected_breaks;
  UpstreamContact expected_contact;
};

class ContactBreakTest : public LeasedUpstreamTest,
                         public testing::WithParamInterface<BreakCase> {};

// Guards against starts for an upstream that has crashed, and against a loss
// that is reported because one connection was reset.
TEST_P(ContactBreakTest, OnlyARefusalAfterAFailedCallBreaksContact) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->upstream.OnHeartbeat(Heartbeat(1, 2, this->GetParam().state),
                             this->now);
  for (const OrderOutcome outcome : this->GetParam().outcomes) {
    if (outcome == OrderOutcome::kDone) {
      ListAnswer list;
      list.running.push_back(order.run);
      this->AnswerList(list);
    } else {
      this->FailList(outcome);
    }
    this->now += milliseconds(1);
  }
  EXPECT_EQ(this->Events<UpstreamContactBroken>().size(),
            this->GetParam().expected_breaks);
  UpstreamContact contact = UpstreamContact::kAnswering;
  for (const auto& changed : this->Events<UpstreamContactChanged>()) {
    contact = changed.contact;
  }
  EXPECT_EQ(contact, this->GetParam().expected_contact);
  EXPECT_TRUE(this->Events<UpstreamLost>().empty());
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes, ContactBreakTest,
    testing::Values(
        BreakCase{"ResetThenRefused",
                  UpstreamState::kReady,
                  {OrderOutcome::kUnknown, OrderOutcome::kConnectionRefused},
                  1,
                  UpstreamContact::kSilent},
        BreakCase{"RefusedTwice",
                  UpstreamState::kReady,
                  {OrderOutcome::kConnectionRefused,
                   OrderOutcome::kConnectionRefused},
                  1,
                  UpstreamContact::kSilent},
        BreakCase{"RefusedForLong",
                  UpstreamState::kReady,
                  {OrderOutcome::kUnknown, OrderOutcome::kConnectionRefused,
                   OrderOutcome::kConnectionRefused},
                  1,
                  UpstreamContact::kSilent},
        BreakCase{"ResetOnce",
                  UpstreamState::kReady,
                  {OrderOutcome::kUnknown, OrderOutcome::kDone},
                  0,
                  UpstreamContact::kAnswering},
        BreakCase{"RefusedOnce",
                  UpstreamState::kReady,
                  {OrderOutcome::kConnectionRefused, OrderOutcome::kDone},
                  0,
                  UpstreamContact::kAnswering},
        BreakCase{"ResetTwice",
                  UpstreamState::kReady,
                  {OrderOutcome::kUnknown, OrderOutcome::kUnknown},
                  0,
                  UpstreamContact::kAnswering},
        BreakCase{"ConnectingTimedOut",
                  UpstreamState::kReady,
                  {OrderOutcome::kUnknown, OrderOutcome::kNotSent},
                  0,
                  UpstreamContact::kAnswering},
        BreakCase{"WhileLeaving",
                  UpstreamState::kLeaving,
                  {OrderOutcome::kUnknown, OrderOutcome::kConnectionRefused},
                  0,
                  UpstreamContact::kSilent}),
    [](const auto& test) { return test.param.name; });

// Guards against a crash that is noticed only when the next regular request
// fails.
TEST_F(LeasedUpstreamTest, TheUpstreamIsAskedAgainAtOnceAfterAFailedCall) {
  this->Announce();
  const StartOrder first = this->Start(1);
  this->AnswerStart(first, OrderOutcome::kDone);
  const std::size_t requested = this->All<SendList>().size();
  this->AnswerStart(this->Start(2), OrderOutcome::kConnectionRefused);
  ASSERT_EQ(this->All<SendList>().size(), requested + 1);
  EXPECT_EQ(this->All<SendList>().back().order.poll_timeout, Duration());
  this->now += milliseconds(3);
  this->FailList(OrderOutcome::kConnectionRefused);
  ASSERT_EQ(this->Events<UpstreamContactBroken>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamContactBroken>()[0].age, milliseconds(3));
}

// A refusal of a request that was sent before the failure may have the same
// cause as the failure.
TEST_F(LeasedUpstreamTest, ARefusalOfAnEarlierRequestDoesNotBreakContact) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  const ListNumber earlier = this->All<SendList>().back().number;
  this->AnswerStart(this->Start(2), OrderOutcome::kConnectionRefused);
  ListAnswer refused;
  refused.answer.outcome = OrderOutcome::kConnectionRefused;
  this->upstream.OnListAnswer(earlier, refused, this->now);
  EXPECT_TRUE(this->Events<UpstreamContactBroken>().empty());
}

// Guards against groups that are named because the agent had no answer for a
// while: silence does not tell when the upstream was lost.
TEST_F(LeasedUpstreamTest, ARefusalAfterSilenceIsNoBreak) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  this->now += milliseconds(700);
  this->upstream.Tick(this->now);
  this->FailList(OrderOutcome::kUnknown);
  this->upstream.Tick(this->now + milliseconds(50));
  this->FailList(OrderOutcome::kConnectionRefused);
  EXPECT_TRUE(this->Events<UpstreamContactBroken>().empty());
}

struct CrashCase {
  std::string name;
  // When the upstream crashes, after it received the latest list request.
  Duration crash_after;
  // The outcome of all requests after the crash.
  OrderOutcome outcome;
};

// An upstream that crashes while it runs a task.
class CrashTest : public LeasedUpstreamTest,
                  public testing::WithParamInterface<CrashCase> {
 protected:
  static constexpr Duration kTickInterval = milliseconds(50);

  void RunAndCrash() {
    this->Announce();
    const StartOrder order = this->Start(1);
    this->AnswerStart(order, OrderOutcome::kDone);
    ListAnswer running;
    running.running.push_back(order.run);
    this->now += milliseconds(100);
    this->AnswerList(running);
    this->last_delivered = this->now;
    this->now += this->GetParam().crash_after;
    this->crashed_at = this->now;
    this->FailList(OrderOutcome::kUnknown);
    this->FailRequests();
  }

  // Answers all list requests that are still unanswered.
  void FailRequests() {
    for (const SendList& list : this->All<SendList>()) {
      if (this->answered.contains(list.number)) continue;
      this->answered.insert(list.number);
      const bool may_renew = this->GetParam().outcome == OrderOutcome::kUnknown;
      if (may_renew && list.order.lease_until) this->last_delivered = this->now;
      ListAnswer failed;
      failed.answer.outcome = this->GetParam().outcome;
      this->upstream.OnListAnswer(list.number, failed, this->now);
    }
  }

  void AdvanceUntilTasksEnd() {
    constexpr std::size_t kMaximumTicks = 100;
    for (std::size_t i = 0; i < kMaximumTicks; ++i) {
      if (!this->Events<UpstreamTaskCompleted>().empty()) return;
      this->now += kTickInterval;
      this->upstream.Tick(this->now);
      this->FailRequests();
    }
  }

  SteadyTime crashed_at;
  // When the last request was sent that may have renewed the lease.
  SteadyTime last_delivered;
};

// Guards against two runs of a task at once: a request without an answer may
// have renewed the lease. Also guards against waiting longer than for the last
// such request, so that callers with short deadlines get no second run.
TEST_P(CrashTest, TasksEndOnceTheLastLeaseThatMayBeGrantedHasExpired) {
  this->RunAndCrash();
  this->AdvanceUntilTasksEnd();
  ASSERT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  // Silence alone is no evidence of a crash.
  const bool is_loss =
      this->GetParam().outcome == OrderOutcome::kConnectionRefused;
  ASSERT_EQ(this->Events<UpstreamLost>().size(), is_loss ? 1U : 0U);
  const Duration lease = MaximumLeaseRunTime(Settings().maximum_lease);
  EXPECT_GT(this->now, this->last_delivered + lease);
  EXPECT_LE(this->now, this->last_delivered + lease + kTickInterval);
  if (this->GetParam().outcome == OrderOutcome::kUnknown) return;
  EXPECT_LE(this->now, this->crashed_at + milliseconds(1300));
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, CrashTest,
    testing::Values(
        CrashCase{"RefusedAtOnce", Duration(),
                  OrderOutcome::kConnectionRefused},
        CrashCase{"Refused", milliseconds(210),
                  OrderOutcome::kConnectionRefused},
        CrashCase{"RefusedLate", milliseconds(399),
                  OrderOutcome::kConnectionRefused},
        CrashCase{"NotSent", milliseconds(210), OrderOutcome::kNotSent},
        CrashCase{"MayBeDelivered", milliseconds(210), OrderOutcome::kUnknown}),
    [](const auto& test) { return test.param.name; });

// Guards against leases that are renewed for an upstream that takes no starts,
// so that its tasks end later than they could.
TEST_F(LeasedUpstreamTest, RenewalStopsWhileTheUpstreamIsUnresponsive) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->FailList(OrderOutcome::kUnknown);
  EXPECT_TRUE(this->All<SendList>().back().order.lease_until.has_value());
  this->FailList(OrderOutcome::kConnectionRefused);
  this->now += milliseconds(50);
  this->upstream.Tick(this->now);
  EXPECT_FALSE(this->All<SendList>().back().order.lease_until.has_value());
  ListAnswer running;
  running.running.push_back(order.run);
  this->AnswerList(running);
  EXPECT_TRUE(this->All<SendList>().back().order.lease_until.has_value());
}

// A start order that did not leave this process does not keep the other tasks
// waiting for the end of its lease.
TEST_F(LeasedUpstreamTest, AStartThatWasNotDeliveredExtendsNoLease) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  const SteadyTime first_start = this->now;
  this->now += milliseconds(300);
  const StartOrder refused = this->Start(2);
  this->FailList(OrderOutcome::kUnknown);
  this->AnswerStart(refused, OrderOutcome::kConnectionRefused);
  this->FailList(OrderOutcome::kConnectionRefused);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  this->now = first_start + MaximumLeaseRunTime(Settings().maximum_lease);
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  this->now += milliseconds(1);
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 2U);
}

TEST_F(LeasedUpstreamTest, AStopIsRepeatedUntilTheCompletionIsListed) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kDone);
  this->upstream.Stop(Wanted(1).task, this->now);
  this->now += milliseconds(200);
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->All<SendStop>().size(), 2U);
  this->AnswerList(Ended(order.run, 1, RunOutcome::kStopped));
  this->now += milliseconds(200);
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->All<SendStop>().size(), 2U);
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>()[0].result,
            UpstreamResult::kBroken);
}

}  // namespace
}  // namespace dandelionspur
