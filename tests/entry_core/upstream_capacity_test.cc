#include <gtest/gtest.h>

#include "tests/support/entry_harness.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 4;
constexpr Duration kAllowed = std::chrono::seconds(5);
// The harness has one member in its view.
const Epoch kEpoch{1};

// A home with two upstreams of four cores each, which announce other
// capacities.
class UpstreamCapacityTest : public testing::Test {
 protected:
  std::vector<EntryEffect> Submit(std::uint64_t job, std::uint64_t cores) {
    CallerSubmitted submitted;
    submitted.request = RequestId(job);
    submitted.job.key = {job, job};
    submitted.job.service = ServiceName("s");
    submitted.job.client_account = ClientAccount("t");
    submitted.job.time_allowed = kAllowed;
    submitted.job.rerun = RerunPolicy::kAfterLease;
    submitted.job.tasks.resize(
        1, TaskRequest{Payload(), milliseconds(100),
                       Resources{cores * kMillicoresPerCore, 0, 0}});
    return this->harness.Handle(submitted);
  }
  // The agent registers its upstream's new capacity and reports it.
  std::vector<EntryEffect> Announce(std::uint32_t agent, std::uint64_t cores,
                                    AgentLoad load) {
    AgentDescription description;
    description.agent = this->harness.Agent(agent);
    description.service = ServiceName("s");
    description.capacity.millicores = cores * kMillicoresPerCore;
    description.admin_endpoint.port = static_cast<std::uint16_t>(agent + 1);
    std::vector<EntryEffect> effects =
        this->harness.Handle(AgentMessageReceived{
            description.agent, Register{description, kEpoch, true}});
    load.capacity = description.capacity;
    for (EntryEffect& effect :
         this->harness.SendHeartbeat(description.agent, load)) {
      effects.push_back(std::move(effect));
    }
    return effects;
  }
  // Both upstreams report that all their cores are in use.
  void FillUpstreams() {
    for (const std::uint32_t agent : {0, 1}) {
      this->harness.SendHeartbeat(this->harness.Agent(agent),
                                  this->harness.Load(kSlots, 0));
    }
  }

  EntryHarness harness{2, kSlots};
};

// Guards against a start that brings an upstream over its shrunk capacity: what
// runs, and what was sent and isn't reported yet, counts against it.
TEST_F(UpstreamCapacityTest, NoStartIsSentBeyondAShrunkCapacity) {
  this->FillUpstreams();
  this->Announce(0, 2, this->harness.Load(2, 0));
  this->Announce(1, 3, this->harness.Load(1, 0));
  const auto first = StartsIn(this->Submit(1, 2));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].to, this->harness.Agent(1));
  EXPECT_TRUE(StartsIn(this->Submit(2, 1)).empty());
  // Its report still lacks the start on its way.
  EXPECT_TRUE(StartsIn(this->Announce(1, 2, this->harness.Load(1, 0))).empty());
  EXPECT_TRUE(StartsIn(this->Announce(1, 3, this->harness.Load(3, 1))).empty());
}

// Guards against queued tasks that wait for the next regular report when the
// capacity has grown.
TEST_F(UpstreamCapacityTest, QueuedTasksStartOnceTheCapacityGrows) {
  this->FillUpstreams();
  EXPECT_TRUE(StartsIn(this->Submit(1, 2)).empty());
  EXPECT_TRUE(StartsIn(this->Announce(0, 5, this->harness.Load(4, 0))).empty());
  const auto starts = StartsIn(this->Announce(0, 6, this->harness.Load(4, 0)));
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].to, this->harness.Agent(0));
}

// Guards against a task that is held to its deadline, and blocks smaller ones,
// although no upstream's capacity holds it any more.
TEST_F(UpstreamCapacityTest, WhatNoUpstreamHoldsAnyMoreIsRefusedAtOnce) {
  this->FillUpstreams();
  this->Submit(1, 3);
  this->Submit(2, 1);
  EXPECT_TRUE(
      AnswersIn(this->Announce(0, 2, this->harness.Load(2, 0))).empty());
  const auto effects = this->Announce(1, 2, this->harness.Load(1, 0));
  ASSERT_EQ(AnswersIn(effects).size(), 1U);
  const AnswerCaller answer = AnswersIn(effects)[0];
  EXPECT_EQ(answer.request, RequestId(1));
  EXPECT_EQ(answer.answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(answer.answer.reason, Reason::kDeadlineTooShort);
  EXPECT_EQ(StartsIn(effects).size(), 1U);
}

// Guards against a task that was queued behind others and is held, though it
// can't be served.
TEST_F(UpstreamCapacityTest, WhatNoUpstreamHoldsIsRefusedBehindOthersToo) {
  this->FillUpstreams();
  this->Submit(1, 1);
  this->Submit(2, 3);
  this->Announce(0, 2, this->harness.Load(2, 0));
  const auto effects = this->Announce(1, 2, this->harness.Load(2, 0));
  ASSERT_EQ(AnswersIn(effects).size(), 1U);
  EXPECT_EQ(AnswersIn(effects)[0].request, RequestId(2));
}

// Guards against the same for a new job, which was accepted without a look at
// the upstreams' capacities.
TEST_F(UpstreamCapacityTest, ANewJobThatNoUpstreamHoldsIsRefusedAtOnce) {
  const auto answers = AnswersIn(this->Submit(1, kSlots + 1));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(answers[0].answer.reason, Reason::kDeadlineTooShort);
}

struct AwayCase {
  const char* name;
  // The number of upstreams that are disconnected.
  std::uint32_t away;
  // The cores that the others announce.
  std::uint64_t cores;
};

class UpstreamsAwayTest : public UpstreamCapacityTest,
                          public testing::WithParamInterface<AwayCase> {};

// Guards against refusals while an upstream that holds the task may return.
TEST_P(UpstreamsAwayTest, ATaskWaitsForAnUpstreamThatMayReturn) {
  for (std::uint32_t agent = 0; agent < 2; ++agent) {
    if (agent < this->GetParam().away) {
      this->harness.Handle(AgentDisconnected{this->harness.Agent(agent)});
    } else {
      this->Announce(agent, this->GetParam().cores, this->harness.Load(0, 0));
    }
  }
  std::vector<EntryEffect> effects = this->Submit(1, kSlots);
  for (EntryEffect& effect : this->harness.Advance(milliseconds(500))) {
    effects.push_back(std::move(effect));
  }
  EXPECT_TRUE(AnswersIn(effects).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Upstreams, UpstreamsAwayTest,
    testing::Values(AwayCase{"One", 1, 1}, AwayCase{"All", 2, 0},
                    AwayCase{"NoneButAllWithoutCapacity", 0, 0}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
