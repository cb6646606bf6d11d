#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "libraries/agent_core/agent_core.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using Names = std::vector<std::string>;

const EntryId kInformed(1);
// Is cut off from the table and the other entries.
const EntryId kUninformed(2);
const AgentId kSelf(7);

EvacuationSet SetOf(std::uint64_t version, const Names& names) {
  return {EvacuationVersion(version), {names.begin(), names.end()}};
}

// An agent in data centre "a" with room for one task; both entries of its view
// have acknowledged it.
class EvacuatedAgentTest : public testing::Test {
 protected:
  EvacuatedAgentTest() : agent(Settings()) {
    AgentDescription description;
    description.capacity = kOneSlot;
    this->Handle(UpstreamAnnounced{description});
    View view;
    for (const EntryId entry : {kInformed, kUninformed}) {
      ViewMember member;
      member.entry = entry;
      member.peer_endpoint.port = static_cast<std::uint16_t>(entry.value());
      view = WithMember(view, member, this->now);
    }
    this->Handle(AgentViewRead{view});
    for (const EntryId entry : {kInformed, kUninformed}) {
      this->Handle(EntryConnected{entry});
      this->Deliver(entry, RegisterAcknowledged{view, {}});
    }
    this->Deliver(kInformed, EntryHeartbeat{this->now});
  }

  static AgentCoreSettings Settings() {
    AgentCoreSettings settings;
    settings.self = kSelf;
    settings.bucket_count = 1;
    settings.data_centre = DataCentreName("a");
    return settings;
  }

  std::vector<AgentEffect> Handle(const AgentEvent& event) {
    return this->agent.Handle(event, this->now);
  }
  std::vector<AgentEffect> Deliver(EntryId from, EntryToAgentMessage message) {
    return this->Handle(EntryMessageReceived{from, std::move(message)});
  }
  std::vector<AgentEffect> Tell(std::uint64_t version, const Names& names) {
    return this->Deliver(kInformed,
                         EntryHeartbeat{this->now, SetOf(version, names)});
  }
  std::vector<AgentEffect> Order(EntryId from, std::uint64_t job) {
    Start start;
    start.task = {{job, job}, TaskIndex(0)};
    start.ballot = {Epoch(1), 0, from};
    start.attempt = 1;
    start.agent = kSelf;
    start.time_left = milliseconds(500);
    start.request.need = kOneSlot;
    return this->Deliver(from, start);
  }

  static bool Runs(const std::vector<AgentEffect>& effects) {
    for (const AgentEffect& effect : effects) {
      if (std::holds_alternative<RunOnUpstream>(effect)) return true;
    }
    return false;
  }
  template <typename Message>
  static std::vector<Message> Sent(const std::vector<AgentEffect>& effects) {
    std::vector<Message> found;
    for (const AgentEffect& effect : effects) {
      const auto* sent = std::get_if<SendToEntry>(&effect);
      if (sent == nullptr) continue;
      const auto* wanted = std::get_if<Message>(&sent->message);
      if (wanted != nullptr) found.push_back(*wanted);
    }
    return found;
  }

  AgentCore agent;
  Timestamp now{std::chrono::seconds(1000)};
};

struct GuardCase {
  const char* name;
  std::vector<EvacuationSet> told;
  bool starts;
};

class GuardTest : public EvacuatedAgentTest,
                  public testing::WithParamInterface<GuardCase> {};

// Guards against a start in an evacuated data centre by a home that hasn't
// heard of the evacuation: the agent is the last to check it.
TEST_P(GuardTest, AStartOfAnUninformedHomeIsRefusedWhileEvacuated) {
  for (const EvacuationSet& told : GetParam().told) {
    this->Deliver(kInformed, EntryHeartbeat{this->now, told});
  }
  const auto effects = this->Order(kUninformed, 1);
  EXPECT_EQ(Runs(effects), GetParam().starts);
  EXPECT_EQ(this->agent.is_evacuated(), !GetParam().starts);
  const auto refused = Sent<TaskNotRun>(effects);
  ASSERT_EQ(refused.size(), GetParam().starts ? 0U : 1U);
  if (GetParam().starts) return;
  // An entry that tells of no evacuations may not know the reason.
  EXPECT_EQ(refused[0].reason, Reason::kNoFreeSlot);
  EXPECT_FALSE(refused[0].load.accepting);
  EXPECT_FALSE(refused[0].load.leaving);
}

INSTANTIATE_TEST_SUITE_P(
    Sets, GuardTest,
    testing::Values(
        GuardCase{"Nothing", {}, true},
        GuardCase{"Elsewhere", {SetOf(5, {"b"})}, true},
        GuardCase{"Own", {SetOf(5, {"a"})}, false},
        GuardCase{"OwnOfTwo", {SetOf(5, {"a", "b"})}, false},
        GuardCase{"Returned", {SetOf(5, {"a"}), SetOf(6, {})}, true},
        GuardCase{"OlderReturn", {SetOf(5, {"a"}), SetOf(4, {})}, false},
        GuardCase{"OlderEvacuation", {SetOf(5, {}), SetOf(4, {"a"})}, true}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a start that waits in the agent's line and is carried out long
// after the evacuation; what runs may end.
TEST_F(EvacuatedAgentTest, AWaitingStartIsReturnedAndARunningTaskGoesOn) {
  EXPECT_TRUE(Runs(this->Order(kInformed, 1)));
  EXPECT_FALSE(Runs(this->Order(kInformed, 2)));
  const auto effects = this->Tell(5, {"a"});
  const auto returned = Sent<TaskNotRun>(effects);
  ASSERT_EQ(returned.size(), 1U);
  EXPECT_EQ(returned[0].task.key, (JobKey{2, 2}));
  EXPECT_EQ(returned[0].reason, Reason::kDataCentreEvacuated);
  EXPECT_EQ(this->agent.running(), 1U);
  const auto finished = Sent<TaskFinished>(
      this->Handle(UpstreamTaskCompleted{{{1, 1}, TaskIndex(0)},
                                         UpstreamResult::kSucceeded,
                                         Payload(),
                                         Duration()}));
  EXPECT_EQ(finished.size(), 1U);
  EXPECT_FALSE(Runs(this->Order(kInformed, 3)));
  this->Tell(6, {});
  EXPECT_TRUE(Runs(this->Order(kInformed, 4)));
}

// Guards against entries that learn of it with the next regular heartbeat only,
// and against an entry that restarts without the table and hears nothing.
TEST_F(EvacuatedAgentTest, TheEntriesAreToldAtOnceAndWhenTheyConnect) {
  const auto heartbeats = Sent<AgentHeartbeat>(this->Tell(5, {"a"}));
  ASSERT_EQ(heartbeats.size(), 2U);
  for (const AgentHeartbeat& heartbeat : heartbeats) {
    EXPECT_FALSE(heartbeat.load.accepting);
    EXPECT_EQ(heartbeat.evacuations, EvacuationVersion(5));
  }
  const auto registered =
      Sent<Register>(this->Handle(EntryConnected{kUninformed}));
  ASSERT_EQ(registered.size(), 1U);
  EXPECT_EQ(registered[0].evacuations, SetOf(5, {"a"}));
  EXPECT_EQ(registered[0].description.data_centre, DataCentreName("a"));
}

// Guards against the first starts of an agent that has restarted.
TEST_F(EvacuatedAgentTest, AnAcknowledgementTellsBeforeTheFirstStart) {
  this->Deliver(kInformed,
                RegisterAcknowledged{View(), {}, true, SetOf(5, {"a"})});
  EXPECT_TRUE(this->agent.is_evacuated());
}

}  // namespace
}  // namespace dandelionspur
