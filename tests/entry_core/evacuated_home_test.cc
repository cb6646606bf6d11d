#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "tests/support/entry_harness.h"
#include "tests/support/entry_mesh.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

constexpr std::uint32_t kSlots = 4;
constexpr Duration kAllowed = seconds(5);
constexpr const char* kNames[] = {"a", "b"};

EvacuationSet SetOf(std::uint64_t version, const Names& names) {
  return {EvacuationVersion(version), {names.begin(), names.end()}};
}

// A home with one upstream in each of the data centres "a" and "b".
class EvacuatedHomeTest : public testing::Test {
 protected:
  EvacuatedHomeTest() {
    for (const std::uint32_t agent : {0, 1}) {
      this->Register(agent, std::nullopt);
    }
  }

  std::vector<EntryEffect> Register(std::uint32_t agent,
                                    std::optional<EvacuationSet> knows) {
    AgentDescription description;
    description.agent = this->harness.Agent(agent);
    description.service = ServiceName("s");
    description.capacity.millicores = kSlots * kMillicoresPerCore;
    description.admin_endpoint.port = static_cast<std::uint16_t>(agent + 1);
    description.data_centre = DataCentreName(kNames[agent]);
    return this->harness.Handle(AgentMessageReceived{
        description.agent, dandelionspur::Register{description, Epoch(1), true,
                                                   std::move(knows)}});
  }
  std::vector<EntryEffect> Evacuate(std::uint64_t version, const Names& names) {
    return this->harness.Handle(EvacuationsRead{SetOf(version, names)});
  }
  // The starts of a job of `tasks` tasks.
  std::vector<SendToAgent> Start(std::uint64_t job, std::uint32_t tasks) {
    return StartsIn(this->harness.Submit(job, tasks, kAllowed));
  }

  EntryHarness harness{2, kSlots};
};

struct EvacuatedCase {
  const char* name;
  Names evacuated;
  // The starts of a job of eight tasks that each of the two upstreams gets; a
  // job that no upstream may take is refused.
  std::size_t first;
  std::size_t second;
};

class EvacuatedPlacesTest : public EvacuatedHomeTest,
                            public testing::WithParamInterface<EvacuatedCase> {
};

TEST_P(EvacuatedPlacesTest, NothingStartsThereAndWhatCantBeServedIsRefused) {
  const EvacuatedCase& tested = GetParam();
  this->Evacuate(7, tested.evacuated);
  const auto effects = this->harness.Submit(1, 2 * kSlots, kAllowed);
  const auto starts = StartsIn(effects);
  const auto first = static_cast<std::size_t>(std::count_if(
      starts.begin(), starts.end(),
      [&](const auto& start) { return start.to == this->harness.Agent(0); }));
  EXPECT_EQ(first, tested.first);
  EXPECT_EQ(starts.size() - first, tested.second);
  const auto answers = AnswersIn(effects);
  ASSERT_EQ(answers.size(), starts.empty() ? 1U : 0U);
  if (answers.empty()) return;
  EXPECT_EQ(answers[0].answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(answers[0].answer.reason, Reason::kNotReady);
  EXPECT_EQ(answers[0].answer.retry_after, seconds(1));
}

INSTANTIATE_TEST_SUITE_P(
    Places, EvacuatedPlacesTest,
    testing::Values(EvacuatedCase{"None", {}, kSlots, kSlots},
                    EvacuatedCase{"First", {"a"}, 0, kSlots},
                    EvacuatedCase{"Unknown", {"elsewhere"}, kSlots, kSlots},
                    EvacuatedCase{"OneAndUnknown", {"a", "x"}, 0, kSlots},
                    EvacuatedCase{"All", {"a", "b"}, 0, 0}),
    [](const auto& tested) { return std::string(tested.param.name); });

// The load: queues are full when the last data centre is evacuated.
TEST_F(EvacuatedHomeTest, QueuedJobsAreRefusedAndStartedOnesGoOn) {
  EXPECT_EQ(this->Start(1, 2 * kSlots + 1).size(), 2 * kSlots);
  EXPECT_TRUE(this->Start(2, 1).empty());
  auto effects = this->Evacuate(7, {"a", "b"});
  ASSERT_EQ(AnswersIn(effects).size(), 1U);
  EXPECT_EQ(AnswersIn(effects)[0].request, RequestId(2));
  EXPECT_EQ(AnswersIn(effects)[0].answer.verdict, Verdict::kNotRun);
  EXPECT_TRUE(AnswersIn(this->harness.Advance(seconds(1))).empty());
}

// Guards against a wait, and a Retry-After, that count the upstreams which may
// not be used: half of the capacity takes twice as long.
TEST_F(EvacuatedHomeTest, TheExpectedWaitCountsWhatIsLeft) {
  const auto refuse_second = [this](std::uint64_t job) {
    this->harness.Submit(job, 500, seconds(60));
    const auto answers =
        AnswersIn(this->harness.Submit(job + 1, 1, milliseconds(500)));
    return answers.empty() ? Duration() : answers[0].answer.retry_after;
  };
  const Duration whole = refuse_second(1);
  this->Evacuate(7, {"a"});
  const Duration half =
      AnswersIn(this->harness.Submit(3, 1, milliseconds(500)))[0]
          .answer.retry_after;
  EXPECT_GT(whole, seconds(5));
  EXPECT_GT(half, 2 * whole - seconds(1));
}

// Guards against a refusal by evacuation that uses up the retries of a task, or
// marks it as failed there.
TEST_F(EvacuatedHomeTest, ARefusedStartGoesElsewhereAndBackAfterTheReturn) {
  const auto starts = this->Start(1, 1);
  ASSERT_EQ(starts.size(), 1U);
  const std::uint32_t there = starts[0].to == this->harness.Agent(0) ? 0 : 1;
  AgentLoad load = this->harness.Load(0, 1);
  load.accepting = false;
  // This home hasn't heard of the evacuation yet.
  const auto again = StartsIn(
      this->harness.RefuseStart(starts[0], Reason::kDataCentreEvacuated, load));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].to, this->harness.Agent(1 - there));
  EXPECT_EQ(std::get<dandelionspur::Start>(again[0].message).placement,
            PlacementReason::kOnlyCandidate);
}

TEST_F(EvacuatedHomeTest, AReturnedUpstreamIsFilledByAndBy) {
  this->Evacuate(7, {"a"});
  this->Start(1, 3 * kSlots);
  auto started =
      static_cast<std::uint32_t>(StartsIn(this->Evacuate(8, {})).size());
  const auto pass = [&](Duration span) {
    constexpr Duration kReportInterval = milliseconds(100);
    for (Duration passed{}; passed < span; passed += kReportInterval) {
      started += StartsIn(this->harness.Advance(kReportInterval)).size();
      started += StartsIn(this->harness.SendHeartbeat(
                              this->harness.Agent(0),
                              this->harness.Load(started, started)))
                     .size();
    }
  };
  EXPECT_EQ(started, 1U);
  pass(ReturnRamp::kRampTime / 2);
  EXPECT_EQ(started, kSlots / 2);
  pass(ReturnRamp::kRampTime / 2);
  EXPECT_EQ(started, kSlots);
}

// Guards against an entry that restarts while the table is down and would place
// tasks in a data centre that is evacuated.
TEST_F(EvacuatedHomeTest, AnEntryLearnsFromAnAgentThatRegisters) {
  this->Register(1, SetOf(7, {"a"}));
  for (const SendToAgent& start : this->Start(1, kSlots)) {
    EXPECT_EQ(start.to, this->harness.Agent(1));
  }
}

// What an agent is told in answer to a heartbeat with this version.
std::optional<EvacuationSet> ToldTo(EntryHarness& harness,
                                    std::uint64_t version) {
  harness.Advance(milliseconds(200));
  AgentHeartbeat heartbeat{harness.Load(0, 0), harness.now()};
  heartbeat.evacuations = EvacuationVersion(version);
  for (const EntryEffect& effect :
       harness.Handle(AgentMessageReceived{harness.Agent(0), heartbeat})) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr) continue;
    const auto* reply = std::get_if<EntryHeartbeat>(&sent->message);
    if (reply != nullptr && reply->evacuations) return reply->evacuations;
  }
  return std::nullopt;
}

TEST_F(EvacuatedHomeTest, AnAgentIsToldWhatItDoesNotKnow) {
  EXPECT_FALSE(ToldTo(this->harness, 0));
  this->Evacuate(6, {});
  EXPECT_FALSE(ToldTo(this->harness, 0));
  EXPECT_EQ(ToldTo(this->harness, 5), SetOf(6, {}));
  this->Evacuate(7, {"a"});
  EXPECT_EQ(ToldTo(this->harness, 0), SetOf(7, {"a"}));
  EXPECT_FALSE(ToldTo(this->harness, 7));
  for (const EntryEffect& effect : this->Register(1, SetOf(5, {"b"}))) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr) continue;
    if (const auto* reply = std::get_if<RegisterAcknowledged>(&sent->message)) {
      EXPECT_EQ(reply->evacuations, SetOf(7, {"a"}));
    }
  }
}

// Guards against entries that don't learn of an evacuation, since they are cut
// off from the table or have joined while it was down, and against an older set
// that such an entry spreads.
TEST(EvacuationSpreadTest, EntriesWithoutTheTableLearnFromTheOthers) {
  EntryMesh mesh(4);
  mesh.Advance(seconds(2));
  mesh.ReadEvacuations(3, SetOf(5, {"a"}));
  mesh.ReadEvacuations(0, SetOf(7, {"b"}));
  const std::size_t joined = mesh.Join();
  mesh.Advance(milliseconds(500));
  for (std::size_t entry = 0; entry <= joined; ++entry) {
    EXPECT_EQ(mesh.EvacuationsAt(entry), SetOf(7, {"b"}));
  }
  mesh.ReadEvacuations(1, SetOf(9, {}));
  mesh.Advance(milliseconds(500));
  for (std::size_t entry = 0; entry <= joined; ++entry) {
    EXPECT_EQ(mesh.EvacuationsAt(entry), SetOf(9, {}));
  }
}

// Guards against costs where nobody asks for an evacuation.
TEST(EvacuationSpreadTest, ATableWithoutEvacuationsIsNotToldOf) {
  EntryMesh quiet(3);
  quiet.Observe([&](EntryId, const SendToPeer& sent) {
    if (const auto* seen = std::get_if<PeerHeartbeat>(&sent.message)) {
      EXPECT_FALSE(seen->evacuations);
    }
  });
  quiet.ReadEvacuations(0, SetOf(9, {}));
  quiet.Advance(seconds(1));
}

}  // namespace
}  // namespace dandelionspur
