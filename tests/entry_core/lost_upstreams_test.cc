#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kBuckets = 4;
constexpr std::uint64_t kEntries = 3;
constexpr std::uint64_t kFirstAgent = 101;
constexpr std::uint64_t kAgents = 8;
constexpr Duration kTickInterval = milliseconds(50);
// The time from the start of a task that crashes its upstream to the loss.
constexpr Duration kCrashAfter = milliseconds(100);
constexpr Duration kUpstreamReturnsAfter = seconds(4);
// A task is given up once this many upstreams were lost under it, and must not
// be started again in any case once this many were.
constexpr std::size_t kExpectedLosses = 2;
constexpr std::size_t kMaximumAllowedLosses = 3;

// Entry and agent cores that are connected without delay, and upstreams that
// are lost whenever a task runs for kCrashAfter.
class LostUpstreamsTest : public testing::Test {
 protected:
  LostUpstreamsTest() {
    for (std::uint64_t i = 1; i <= kEntries; ++i) {
      ViewMember member;
      member.entry = EntryId(i);
      member.peer_endpoint.port = static_cast<std::uint16_t>(i);
      this->view = WithMember(this->view, member, this->now);
      this->entries[EntryId(i)] = std::make_unique<EntryCore>(EntrySettings(i));
    }
    for (std::uint64_t i = 0; i < kAgents; ++i) {
      const AgentId id(kFirstAgent + i);
      this->agents[id] = std::make_unique<AgentCore>(AgentSettingsOf(id));
    }
    for (const auto& [id, entry] : this->entries) {
      this->Post(id, DocumentRead{{ServiceName("s"), DocumentVersion(1),
                                   R"({"service": "s", "owner": "o",
                                       "order": "least_slack"})"}});
      this->Post(id, ViewRead{this->view});
    }
    for (const auto& [id, agent] : this->agents) {
      this->Post(id, Description(id));
      this->Post(id, AgentViewRead{this->view});
    }
    for (const auto& [id, entry] : this->entries) {
      for (const auto& [other, unused] : this->entries) {
        if (other != id) this->Post(id, PeerConnected{other});
      }
      for (const auto& [agent, unused] : this->agents) {
        this->Post(id, AgentConnected{agent});
        this->Post(agent, EntryConnected{id});
      }
    }
    // Longer than entries wait that join without knowing the agents of others.
    this->Advance(EntryCoreSettings().unconfirmed_over_after + seconds(1));
  }

  static EntryCoreSettings EntrySettings(std::uint64_t id) {
    EntryCoreSettings settings;
    settings.self = EntryId(id);
    settings.bucket_count = kBuckets;
    return settings;
  }
  static AgentCoreSettings AgentSettingsOf(AgentId id) {
    AgentCoreSettings settings;
    settings.self = id;
    settings.bucket_count = kBuckets;
    return settings;
  }
  static UpstreamAnnounced Description(AgentId id) {
    AgentDescription description;
    description.agent = id;
    description.service = ServiceName("s");
    description.upstream = "i-" + std::to_string(id.value());
    description.capacity = kOneSlot + kOneSlot;
    description.admin_endpoint.port = static_cast<std::uint16_t>(id.value());
    return {description};
  }

  void Post(EntryId to, const EntryEvent& event) {
    this->pending.emplace_back([this, to, event] {
      const auto entry = this->entries.find(to);
      if (entry == this->entries.end()) return;
      for (const EntryEffect& effect :
           entry->second->Handle(event, this->now)) {
        this->Apply(to, effect);
      }
    });
  }
  void Post(AgentId to, const AgentEvent& event) {
    this->pending.emplace_back([this, to, event] {
      for (const AgentEffect& effect :
           this->agents.at(to)->Handle(event, this->now)) {
        this->Apply(to, effect);
      }
    });
  }
  void Deliver() {
    while (!this->pending.empty()) {
      const std::function<void()> next = std::move(this->pending.front());
      this->pending.pop_front();
      next();
    }
  }

  void Apply(EntryId from, const EntryEffect& effect) {
    if (const auto* peer = std::get_if<SendToPeer>(&effect)) {
      const bool is_delayed =
          this->delayed_requests.contains(peer->to) &&
          std::holds_alternative<PromiseRequest>(peer->message);
      if (is_delayed) return;
      this->Post(peer->to, PeerMessageReceived{from, peer->message});
    } else if (const auto* agent = std::get_if<SendToAgent>(&effect)) {
      if (std::holds_alternative<Start>(agent->message)) this->home = from;
      this->Post(agent->to, EntryMessageReceived{from, agent->message});
    } else if (const auto* proposed = std::get_if<ProposeView>(&effect)) {
      if (proposed->view.epoch <= this->view.epoch) return;
      this->view = proposed->view;
      for (const auto& [id, entry] : this->entries) {
        this->Post(id, ViewRead{this->view});
      }
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      this->answers.push_back(answer->answer);
    }
  }
  void Apply(AgentId from, const AgentEffect& effect) {
    if (const auto* sent = std::get_if<SendToEntry>(&effect)) {
      this->Post(sent->to, AgentMessageReceived{from, sent->message});
    } else if (const auto* run = std::get_if<RunOnUpstream>(&effect)) {
      ++this->starts[run->task.key];
      if (this->deadly.contains(run->task.key)) {
        this->crashes.emplace(this->now + kCrashAfter, from);
      }
    }
  }

  void Advance(Duration step) {
    const Timestamp until = this->now + step;
    this->Deliver();
    while (this->now < until) {
      this->now += kTickInterval;
      this->CrashAndReturn();
      for (const auto& [id, agent] : this->agents) this->Post(id, AgentTick{});
      for (const auto& [id, entry] : this->entries) {
        this->Post(id, EntryTick{});
      }
      this->Deliver();
    }
  }
  void CrashAndReturn() {
    while (!this->crashes.empty() && this->crashes.begin()->first <= now) {
      const AgentId agent = this->crashes.begin()->second;
      this->crashes.erase(this->crashes.begin());
      this->Crash(agent);
      this->returns.emplace(this->now + kUpstreamReturnsAfter, agent);
    }
    while (!this->returns.empty() && this->returns.begin()->first <= now) {
      const AgentId agent = this->returns.begin()->second;
      this->returns.erase(this->returns.begin());
      this->Post(agent, Description(agent));
    }
  }
  // The upstream of the agent is lost.
  void Crash(AgentId agent) {
    ++this->losses;
    this->Post(agent, UpstreamContactChanged{UpstreamContact::kSilent});
    const std::string id = "i-" + std::to_string(agent.value());
    this->Post(agent, UpstreamLost{id, LossEvidence::kSilent});
    for (const TaskId& task : this->agents.at(agent)->RunningTasks()) {
      this->Post(agent, UpstreamTaskCompleted{task, UpstreamResult::kBroken,
                                              Payload(), kCrashAfter});
    }
  }

  static JobKey KeyOf(std::uint64_t number) {
    constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15ULL;
    return {number * kSpread, number};
  }
  // Submits a job that may run again at the first entry that is alive.
  void Submit(std::uint64_t number, Duration time_allowed) {
    CallerSubmitted submitted;
    submitted.request = RequestId(++this->last_request);
    submitted.job.key = KeyOf(number);
    submitted.job.service = ServiceName("s");
    submitted.job.client_account = ClientAccount("t");
    submitted.job.time_allowed = time_allowed;
    submitted.job.rerun = RerunPolicy::kAfterLease;
    submitted.job.maximum_attempts = 3;
    submitted.job.tasks.resize(
        1, TaskRequest{Payload(), milliseconds(100), kOneSlot});
    this->Post(this->entries.begin()->first, submitted);
    this->Deliver();
  }
  // The number of a job that the entry that callers submit to is the last one
  // to be home of.
  [[nodiscard]] std::uint64_t NumberOfRelayedJob() const {
    std::uint64_t number = 1;
    while (this->view.Ranking(BucketOf(KeyOf(number), kBuckets)).back() !=
           this->entries.begin()->first) {
      ++number;
    }
    return number;
  }
  // The home of the job that was started last is lost.
  void KillHome() {
    this->entries.erase(this->home);
    this->DetectLossOfHome();
  }
  void DetectLossOfHome() {
    const EntryId dead = this->home;
    for (const auto& [id, entry] : this->entries) {
      this->Post(id, PeerDisconnected{dead});
      this->Post(id, PeerProvenDead{dead});
    }
    for (const auto& [id, agent] : this->agents) {
      this->Post(id, EntryDisconnected{dead});
    }
    this->Deliver();
  }
  // Advances until this many upstreams have been lost.
  void AdvanceUntilLost(std::size_t wanted) {
    constexpr int kMaximumSteps = 400;
    for (int i = 0; i < kMaximumSteps && this->losses < wanted; ++i) {
      this->Advance(kTickInterval);
    }
    ASSERT_EQ(this->losses, wanted);
  }

  Timestamp now{seconds(1'000'000)};
  View view;
  std::map<EntryId, std::unique_ptr<EntryCore>> entries;
  std::map<AgentId, std::unique_ptr<AgentCore>> agents;
  std::deque<std::function<void()>> pending;
  // The entries to which promise requests are on their way until the end.
  std::set<EntryId> delayed_requests;
  std::multimap<Timestamp, AgentId> crashes;
  std::multimap<Timestamp, AgentId> returns;
  // The jobs whose tasks crash the upstreams that run them.
  std::set<JobKey> deadly{KeyOf(1)};
  std::map<JobKey, std::uint32_t> starts;
  std::vector<JobAnswer> answers;
  std::size_t losses = 0;
  EntryId home;
  std::uint64_t last_request = 0;
};

// Guards against a job with a long deadline that takes down one upstream after
// the other until the deadline.
TEST_F(LostUpstreamsTest, ATaskThatCrashesUpstreamsIsGivenUp) {
  this->Submit(1, seconds(60));
  this->Advance(seconds(59));
  EXPECT_EQ(this->losses, kExpectedLosses);
  EXPECT_EQ(this->starts[KeyOf(1)], kExpectedLosses);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].verdict, Verdict::kRan);
  EXPECT_NE(this->answers[0].reason, Reason::kComplete);
}

// Guards against a count of losses that is gone with the home, when the caller
// submits the job again to the next home.
TEST_F(LostUpstreamsTest, TheCountSurvivesTheLossOfTheHome) {
  this->Submit(1, seconds(60));
  this->AdvanceUntilLost(1);
  this->Advance(kTickInterval);
  this->KillHome();
  this->Advance(seconds(3));
  this->Submit(1, seconds(60));
  this->Advance(seconds(55));
  EXPECT_LE(this->losses, kMaximumAllowedLosses);
  EXPECT_LE(this->starts[KeyOf(1)], kMaximumAllowedLosses);
  ASSERT_FALSE(this->answers.empty());
  EXPECT_EQ(this->answers.back().verdict, Verdict::kRan);
}

// Guards against a count of losses that ends with the answer "may have run",
// after which the caller submits the same key again.
TEST_F(LostUpstreamsTest, TheCountSurvivesAnAnswerAndAResubmission) {
  constexpr int kSubmissions = 6;
  for (int i = 0; i < kSubmissions; ++i) {
    this->Submit(1, milliseconds(400));
    this->Advance(seconds(2));
  }
  EXPECT_LE(this->losses, kMaximumAllowedLosses);
  EXPECT_LE(this->starts[KeyOf(1)], kMaximumAllowedLosses);
  ASSERT_FALSE(this->answers.empty());
  EXPECT_EQ(this->answers.back().verdict, Verdict::kRan);
}

// Guards against a refusal as not run by a new home that learns nothing of the
// run, which ended with its upstream when the former home was lost already. The
// agents promise before the entry that has relayed the job does.
TEST_F(LostUpstreamsTest, AJobThatRanIsNotRefusedAsNotRunByTheNextHome) {
  const std::uint64_t relayed = this->NumberOfRelayedJob();
  this->deadly = {KeyOf(relayed)};
  this->Submit(relayed, seconds(6));
  this->Advance(kTickInterval);
  ASSERT_EQ(this->starts[KeyOf(relayed)], 1U);
  this->entries.erase(this->home);
  this->AdvanceUntilLost(1);
  // No agent takes the task, so the next home refuses the job.
  for (const auto& [id, agent] : this->agents) this->Post(id, LeaveRequested{});
  this->delayed_requests.insert(this->entries.begin()->first);
  this->DetectLossOfHome();
  this->Advance(seconds(6));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].verdict, Verdict::kMayHaveRun);
}

// Guards against bystanders that are given up because they ran beside a task
// that was suspected already.
TEST_F(LostUpstreamsTest, OnlyTheStrongestSuspectIsCharged) {
  AgentCore& agent = *this->agents.at(AgentId(kFirstAgent));
  this->Submit(1, seconds(60));
  this->AdvanceUntilLost(1);
  ASSERT_TRUE(agent.is_ready());
  // Jobs that never end by themselves fill every upstream.
  for (std::uint64_t job = 2; job <= 2 * kAgents; ++job) {
    this->Submit(job, seconds(60));
  }
  this->Advance(seconds(20));
  for (const JobAnswer& answer : this->answers) {
    EXPECT_EQ(answer.verdict, Verdict::kRan);
  }
  EXPECT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->starts[KeyOf(1)], kExpectedLosses);
}

}  // namespace
}  // namespace dandelionspur
