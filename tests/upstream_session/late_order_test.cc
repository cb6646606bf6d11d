#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "tests/upstream_session/leased_upstream_fixture.h"

namespace dandelionspur {
namespace {

struct LateListCase {
  std::string name;
  // Whether the request that gets no answer extends the lease.
  LeaseRenewal renewal;
  // Whether the call fails; otherwise its answer is only overdue.
  bool fails;
  bool raises_token;
};

// A task runs, and a list request gets no answer.
class LateListTest : public LeasedUpstreamTest,
                     public testing::WithParamInterface<LateListCase> {
 protected:
  // Returns the request that gets no answer.
  SendList LoseAList() {
    this->Announce();
    this->run = this->Start(1).run;
    this->AnswerStart(this->All<SendStart>().back().order, OrderOutcome::kDone);
    this->upstream.SetLeaseRenewal(this->GetParam().renewal);
    this->AnswerList(this->Running());
    SendList lost = this->All<SendList>().back();
    // The agent is cut off from the entries.
    this->upstream.SetLeaseRenewal(LeaseRenewal::kSuspended);
    if (this->GetParam().fails) {
      this->FailList(OrderOutcome::kUnknown);
    } else {
      this->now += lost.order.poll_timeout + milliseconds(61);
      this->upstream.Tick(this->now);
    }
    return lost;
  }

  [[nodiscard]] ListAnswer Running() const {
    ListAnswer list;
    list.running.push_back(this->run);
    return list;
  }

  TaskRun run;
};

// Guards against two runs of a task at once: a list request that is carried out
// seconds later extended the lease of what still ran, after the agent had
// stopped extending it.
TEST_P(LateListTest, AHigherTokenOvertakesARequestThatMayExtendTheLease) {
  const SendList lost = this->LoseAList();
  const SendList next = this->All<SendList>().back();
  EXPECT_GT(next.number, lost.number);
  EXPECT_FALSE(next.order.lease_until.has_value());
  EXPECT_EQ(next.order.token > lost.order.token, this->GetParam().raises_token);
  this->AnswerList(this->Running());
  EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
}

// Guards against a lease of a later task that such a request extends: the
// tasks that ran when it was sent have ended.
TEST_P(LateListTest, ALaterStartCarriesTheHigherToken) {
  const SendList lost = this->LoseAList();
  this->AnswerList(Ended(this->run, 1, RunOutcome::kDone));
  this->upstream.SetLeaseRenewal(LeaseRenewal::kAllowed);
  EXPECT_EQ(this->Start(2).token > lost.order.token,
            this->GetParam().raises_token);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, LateListTest,
    testing::Values(
        LateListCase{"ExtendsAndFails", LeaseRenewal::kAllowed, true, true},
        LateListCase{"ExtendsAndIsOverdue", LeaseRenewal::kAllowed, false,
                     true},
        LateListCase{"ExtendsNothing", LeaseRenewal::kSuspended, true, false}),
    [](const auto& test) { return test.param.name; });

// The last task has ended while the answer to a list request is overdue.
// Guards against a token that is raised only while tasks run.
TEST_F(LeasedUpstreamTest, AnOverdueRequestRaisesTheTokenWithoutTasks) {
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kNoCapacity);
  const SendList granting = this->All<SendList>().back();
  ASSERT_TRUE(granting.order.lease_until.has_value());
  this->now += granting.order.poll_timeout + milliseconds(61);
  this->upstream.Tick(this->now);
  EXPECT_GT(this->Start(2).token, granting.order.token);
}

// A request that was sent under an older token says nothing about the present
// one. Guards against a token that is raised by each answer that fails.
TEST_F(LeasedUpstreamTest, AnOverdueRequestRaisesTheTokenOnce) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  const SendList granting = this->All<SendList>().back();
  this->upstream.SetLeaseRenewal(LeaseRenewal::kSuspended);
  this->now += granting.order.poll_timeout + milliseconds(61);
  this->upstream.Tick(this->now);
  const FencingToken raised = this->All<SendList>().back().order.token;
  ListAnswer failed;
  failed.answer.outcome = OrderOutcome::kUnknown;
  this->upstream.OnListAnswer(granting.number, failed, this->now);
  this->now += milliseconds(61);
  this->upstream.Tick(this->now);
  EXPECT_EQ(this->All<SendList>().back().order.token, raised);
}

struct SilentStartCase {
  std::string name;
  // How long the upstream is silent after the start order.
  std::chrono::milliseconds silence;
  // What the first list shows once it answers again; nothing while it stays
  // silent.
  std::optional<RunOutcome> listed_end;
  bool listed_running;
  // The result that the agent is told; nothing while the task may still run.
  std::optional<UpstreamResult> result;
};

// The upstream stops to answer.
class SilentUpstreamTest : public LeasedUpstreamTest {
 protected:
  // Every request fails for the given time.
  void BeSilentFor(milliseconds duration) {
    const SteadyTime end = this->now + duration;
    while (this->now < end) {
      this->now += milliseconds(50);
      this->upstream.Tick(this->now);
      for (const SendList& sent : this->All<SendList>()) {
        if (!this->answered.insert(sent.number).second) continue;
        ListAnswer failed;
        failed.answer.outcome = this->outcome;
        this->upstream.OnListAnswer(sent.number, failed, this->now);
      }
    }
  }

  OrderOutcome outcome = OrderOutcome::kUnknown;
};

// It does so with a start.
class SilentStartTest : public SilentUpstreamTest,
                        public testing::WithParamInterface<SilentStartCase> {};

// Guards against two runs of a task at once: the order was carried out seconds
// later, after the agent had reported that the lease was over.
TEST_P(SilentStartTest, ATaskIsOverOnlyOnceItsOrderHasNoEffect) {
  const SilentStartCase& tested = this->GetParam();
  this->Announce();
  const StartOrder order = this->Start(1);
  this->AnswerStart(order, OrderOutcome::kUnknown);
  this->BeSilentFor(tested.silence);
  if (tested.listed_end || tested.listed_running || !tested.result) {
    ListAnswer list;
    if (tested.listed_end) list = Ended(order.run, 1, *tested.listed_end);
    if (tested.listed_running) list.running.push_back(order.run);
    EXPECT_TRUE(this->Events<UpstreamTaskCompleted>().empty());
    EXPECT_EQ(this->upstream.UnconfirmedTasks().size(), 1U);
    this->upstream.Tick(this->now += milliseconds(50));
    EXPECT_GT(this->All<SendList>().back().order.token, order.token);
    this->AnswerList(list);
  }
  const auto completed = this->Events<UpstreamTaskCompleted>();
  ASSERT_EQ(completed.size(), tested.result ? 1U : 0U);
  if (tested.result) {
    EXPECT_EQ(completed.front().result, *tested.result);
  }
  EXPECT_TRUE(this->upstream.UnconfirmedTasks().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Silences, SilentStartTest,
    testing::Values(
        SilentStartCase{"CarriedOutLate", std::chrono::milliseconds(3000),
                        std::nullopt, true, std::nullopt},
        SilentStartCase{"CarriedOutAndEnded", std::chrono::milliseconds(9000),
                        RunOutcome::kDone, false, UpstreamResult::kSucceeded},
        SilentStartCase{"SilentForLongerThanAnOrderIsLate",
                        std::chrono::milliseconds(14'000), std::nullopt, false,
                        UpstreamResult::kBroken}),
    [](const auto& test) { return test.param.name; });

// Guards against a loss that counts twice: a start that the upstream had not
// answered when it crashed ends long after the confirmed ones.
TEST_F(SilentUpstreamTest, ALossIsReportedOnceWhileAStartIsUnconfirmed) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  this->AnswerStart(this->Start(2), OrderOutcome::kUnknown);
  this->outcome = OrderOutcome::kConnectionRefused;
  this->BeSilentFor(milliseconds(3'000));
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 1U);
  EXPECT_EQ(this->Events<UpstreamLost>().size(), 1U);
  this->BeSilentFor(milliseconds(12'000));
  EXPECT_EQ(this->Events<UpstreamTaskCompleted>().size(), 2U);
  EXPECT_EQ(this->Events<UpstreamLost>().size(), 1U);
}

// Guards against waiting for late orders where none can have an effect: a task
// that is known to run is over before the earliest one.
TEST_F(SilentUpstreamTest, ARunningTaskIsOverWithItsLease) {
  this->Announce();
  this->AnswerStart(this->Start(1), OrderOutcome::kDone);
  EXPECT_TRUE(this->upstream.UnconfirmedTasks().empty());
  const SteadyTime started = this->now;
  while (this->Events<UpstreamTaskCompleted>().empty()) {
    ASSERT_LT(this->now, started + kEarliestLateOrder);
    this->BeSilentFor(milliseconds(50));
  }
}

// Guards against a lease that lasts until the earliest late order and counts as
// over before the latest one.
TEST(MaximumRunTimeTest, ALongLeaseMayBeExtendedByALateOrder) {
  constexpr auto kConfirmed = StartConfirmation::kConfirmed;
  constexpr Duration kShort = std::chrono::milliseconds(1'000);
  constexpr Duration kLong = std::chrono::milliseconds(2'000);
  EXPECT_EQ(MaximumRunTime(kShort, kConfirmed), MaximumLeaseRunTime(kShort));
  EXPECT_GT(MaximumRunTime(kLong, kConfirmed), kLatestLateOrder);
}

}  // namespace
}  // namespace dandelionspur
