#include "libraries/agent_core/agent_core.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/agent_core/view_reading.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kEntry = 1;

// An agent that one entry has acknowledged.
class AgentCoreTest : public testing::Test {
 protected:
  explicit AgentCoreTest(const AgentCoreSettings& settings = Settings())
      : agent(settings) {
    this->Announce();
    ViewMember member;
    member.entry = EntryId(kEntry);
    this->first_view = WithMember(View(), member, this->now);
    this->Handle(AgentViewRead{this->first_view});
    this->Handle(EntryConnected{EntryId(kEntry)});
    this->Deliver(RegisterAcknowledged{this->first_view, {}});
    this->Confirm();
  }

  // An upstream with two cores announces itself.
  std::vector<AgentEffect> Announce() {
    AgentDescription description;
    description.capacity.millicores = 2 * kMillicoresPerCore;
    return this->Handle(UpstreamAnnounced{description});
  }
  // The entry confirms a heartbeat that the agent sent at `now`.
  std::vector<AgentEffect> Confirm() {
    return this->Deliver(EntryHeartbeat{this->now});
  }

  static AgentCoreSettings Settings() {
    AgentCoreSettings settings;
    settings.self = AgentId(7);
    settings.bucket_count = 1;
    settings.data_centre = DataCentreName("a");
    return settings;
  }

  std::vector<AgentEffect> Handle(const AgentEvent& event) {
    return this->agent.Handle(event, this->now);
  }
  std::vector<AgentEffect> Deliver(EntryToAgentMessage message) {
    return this->Handle(
        EntryMessageReceived{EntryId(kEntry), std::move(message)});
  }

  static Start StartOf(std::uint64_t job) {
    Start start;
    start.task = {{job, job}, TaskIndex(0)};
    start.ballot = {Epoch(1), 0, EntryId(kEntry)};
    start.attempt = 1;
    start.agent = AgentId(7);
    start.time_left = milliseconds(500);
    return start;
  }

  template <typename Effect>
  static std::vector<Effect> Only(const std::vector<AgentEffect>& effects) {
    std::vector<Effect> found;
    for (const AgentEffect& effect : effects) {
      if (const auto* wanted = std::get_if<Effect>(&effect)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  template <typename Message>
  static std::vector<Message> Sent(const std::vector<AgentEffect>& effects) {
    std::vector<Message> found;
    for (const SendToEntry& sent : Only<SendToEntry>(effects)) {
      if (const auto* wanted = std::get_if<Message>(&sent.message)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  AgentCore agent;
  Timestamp now{std::chrono::seconds(1000)};
  View first_view;
};

// One task of group 1 runs from 100 to 200 ms. The others run in these times.
struct NeighbourCase {
  const char* name;
  struct Other {
    std::uint64_t group;
    std::int64_t from_ms;
    std::int64_t until_ms;
  };
  std::vector<Other> others;
  bool asked = true;
  std::vector<std::uint64_t> expected;
};

class NeighbourTest : public AgentCoreTest,
                      public testing::WithParamInterface<NeighbourCase> {
 protected:
  void Start(std::uint64_t job, std::uint64_t group) {
    auto start = StartOf(job);
    start.group = JobGroupId(group);
    start.report_neighbours = this->GetParam().asked;
    this->Deliver(start);
  }
  std::vector<TaskFinished> End(std::uint64_t job) {
    return Sent<TaskFinished>(this->Handle(
        UpstreamTaskCompleted{StartOf(job).task, UpstreamResult::kSucceeded,
                              Payload(), milliseconds(100)}));
  }
};

// Guards against a task that is said to have run beside another one which it
// met for a moment only, and against reports that nobody has asked for.
TEST_P(NeighbourTest, ReportsWhoRanBesideATask) {
  AgentDescription description;
  description.capacity.millicores = 20 * kMillicoresPerCore;
  this->Handle(UpstreamAnnounced{description});
  const Timestamp begin = this->now;
  std::vector<TaskFinished> finished;
  for (std::int64_t at_ms = 0; at_ms <= 200; at_ms += 10) {
    this->now = begin + milliseconds(at_ms);
    this->Confirm();
    for (std::size_t i = 0; i < this->GetParam().others.size(); ++i) {
      const NeighbourCase::Other& other = this->GetParam().others[i];
      if (other.from_ms == at_ms) this->Start(10 + i, other.group);
      if (other.until_ms == at_ms) this->End(10 + i);
    }
    if (at_ms == 100) this->Start(1, 1);
    if (at_ms == 200) finished = this->End(1);
  }
  ASSERT_EQ(finished.size(), 1U);
  std::vector<std::uint64_t> reported;
  for (const JobGroupId group : finished[0].neighbours) {
    reported.push_back(group.value());
  }
  EXPECT_EQ(reported, this->GetParam().expected);
  this->now += Settings().heartbeat_interval;
  const auto heartbeats = Sent<AgentHeartbeat>(this->Handle(AgentTick{}));
  ASSERT_EQ(heartbeats.size(), 1U);
  for (const AgentHeartbeat& heartbeat : heartbeats) {
    EXPECT_EQ(heartbeat.running_groups.empty(), !this->GetParam().asked);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Neighbours, NeighbourTest,
    testing::Values(
        NeighbourCase{"Alone", {{1, 0, 250}, {2, 0, 90}}, true, {}},
        NeighbourCase{"MostOfTheTime", {{2, 0, 170}, {3, 160, 250}}, true, {2}},
        NeighbourCase{
            "InTurn", {{2, 90, 130}, {2, 150, 190}, {3, 190, 250}}, true, {2}},
        NeighbourCase{
            "AtMostFourAndTheLongestFirst",
            {{2, 0, 160}, {3, 0, 170}, {4, 0, 180}, {5, 0, 190}, {6, 0, 250}},
            true,
            {6, 5, 4, 3}},
        NeighbourCase{"NotAsked", {{2, 0, 250}}, false, {}}),
    [](const auto& item) { return item.param.name; });

struct NotRunCase {
  UpstreamResult result;
  Reason reason;
};

class NotRunTest : public AgentCoreTest,
                   public testing::WithParamInterface<NotRunCase> {};

// A lost start order must not be reported as an unreachable upstream, or a few
// lost orders would take all upstreams out of use.
TEST_P(NotRunTest, ReportsWhyATaskDidNotRun) {
  this->Deliver(StartOf(1));
  const auto replies = Sent<TaskNotRun>(this->Handle(UpstreamTaskCompleted{
      StartOf(1).task, this->GetParam().result, Payload(), Duration()}));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reason, this->GetParam().reason);
  EXPECT_EQ(replies[0].load.running, Resources());
}

INSTANTIATE_TEST_SUITE_P(
    Results, NotRunTest,
    testing::Values(
        NotRunCase{UpstreamResult::kNotSent, Reason::kUpstreamUnreachable},
        NotRunCase{UpstreamResult::kNoRoom, Reason::kNoFreeSlot},
        NotRunCase{UpstreamResult::kUnanswered, Reason::kOrderUnanswered}));

// The ballot of a stop order, beside that of the start and the promised one.
struct StopCase {
  const char* name;
  Ballot started;
  Ballot promised;
  Ballot stopped;
  bool obeyed;
};

class StopBallotTest : public AgentCoreTest,
                       public testing::WithParamInterface<StopCase> {};

// Guards against a former home that wakes late and stops a task that the
// present home runs.
TEST_P(StopBallotTest, IsObeyedUnlessFromAFormerHome) {
  const StopCase& tested = this->GetParam();
  Start start = StartOf(1);
  start.ballot = tested.started;
  this->Deliver(start);
  this->Deliver(
      RegisterAcknowledged{View(), {{BucketId(0), tested.promised}}, true});
  const auto stops =
      Only<StopOnUpstream>(this->Deliver(StopTask{start.task, tested.stopped}));
  EXPECT_EQ(stops.size(), tested.obeyed ? 1U : 0U);
}

const Ballot kFormer{Epoch(1), 0, EntryId(kEntry)};
const Ballot kPresent{Epoch(2), 0, EntryId(kEntry + 1)};

INSTANTIATE_TEST_SUITE_P(
    Ballots, StopBallotTest,
    testing::Values(
        StopCase{"PresentHome", kFormer, kFormer, kFormer, true},
        StopCase{"FormerHome", kFormer, kPresent, kFormer, false},
        StopCase{"HomeNotPromisedYet", kFormer, kFormer, kPresent, true},
        StopCase{"EarlierVersion", kFormer, kPresent, Ballot(), true}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a cancelling that is forgotten when all entries are lost.
TEST_F(AgentCoreTest, ACancelledJobIsRefusedAndToldToEachHome) {
  const Start start = StartOf(1);
  const std::vector<RenounceReply> replies = Sent<RenounceReply>(this->Deliver(
      Renounce{{start.task.key, TaskIndex(3)}, start.ballot, 1, true}));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_TRUE(replies[0].cancelled);
  const std::vector<AgentEffect> effects = this->Deliver(start);
  EXPECT_TRUE(Only<RunOnUpstream>(effects).empty());
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_TRUE(Sent<TaskNotRun>(effects)[0].job_cancelled);
  PromiseRequest request;
  request.buckets.push_back({BucketId(0), {Epoch(1), 1, EntryId(kEntry)}});
  const std::vector<AgentPromiseReply> promises =
      Sent<AgentPromiseReply>(this->Deliver(request));
  ASSERT_EQ(promises.size(), 1U);
  ASSERT_EQ(promises[0].started.size(), 1U);
  EXPECT_TRUE(promises[0].started[0].cancelled);
  EXPECT_TRUE(promises[0].started[0].tasks.empty());
}

struct ConfirmationCase {
  std::string name;
  // The jobs whose starts the upstream has not answered at the tick.
  std::vector<std::uint64_t> unanswered;
  // The jobs that have completed by then.
  std::vector<std::uint64_t> completed;
  std::uint32_t reported;
};

class ConfirmationTest : public AgentCoreTest,
                         public testing::WithParamInterface<ConfirmationCase> {
};

// Guards against a home that takes a start for carried out, or for over with
// its lease, which the upstream has not answered.
TEST_P(ConfirmationTest, HeartbeatsTellHowManyStartsAreUnconfirmed) {
  // The third one waits for capacity.
  for (const std::uint64_t job : {1, 2, 3}) this->Deliver(StartOf(job));
  for (const std::uint64_t job : this->GetParam().completed) {
    this->Handle(UpstreamTaskCompleted{StartOf(job).task,
                                       UpstreamResult::kSucceeded, Payload(),
                                       milliseconds(1)});
  }
  AgentTick tick;
  for (const std::uint64_t job : this->GetParam().unanswered) {
    tick.unconfirmed.push_back(StartOf(job).task);
  }
  this->now += milliseconds(200);
  const auto heartbeats = Sent<AgentHeartbeat>(this->Handle(tick));
  ASSERT_EQ(heartbeats.size(), 1U);
  EXPECT_EQ(heartbeats.front().load.starts_seen, 3U);
  EXPECT_EQ(heartbeats.front().load.starts_unconfirmed,
            this->GetParam().reported);
  // Another connection has starts of its own.
  this->Handle(EntryConnected{EntryId(kEntry)});
  const auto next = Sent<AgentHeartbeat>(
      this->Deliver(RegisterAcknowledged{View(), {}, true}));
  for (const AgentHeartbeat& heartbeat : next) {
    EXPECT_EQ(heartbeat.load.starts_unconfirmed, 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Starts, ConfirmationTest,
    testing::Values(ConfirmationCase{"OneWaits", {}, {}, 1},
                    ConfirmationCase{"TheSecondIsUnanswered", {2}, {}, 2},
                    ConfirmationCase{"TheFirstIsUnanswered", {1}, {}, 3},
                    ConfirmationCase{"TheThirdHasStarted", {}, {1}, 0},
                    ConfirmationCase{"AllHaveCompleted", {}, {1, 2, 3}, 0}),
    [](const auto& test) { return test.param.name; });

TEST_F(AgentCoreTest, StartsBeyondTheCapacityAreQueued) {
  EXPECT_EQ(Only<RunOnUpstream>(this->Deliver(StartOf(1))).size(), 1U);
  EXPECT_EQ(Only<RunOnUpstream>(this->Deliver(StartOf(2))).size(), 1U);
  EXPECT_TRUE(Only<RunOnUpstream>(this->Deliver(StartOf(3))).empty());
  const auto effects = this->Handle(UpstreamTaskCompleted{
      StartOf(1).task, UpstreamResult::kSucceeded, Payload(), Duration()});
  ASSERT_EQ(Only<RunOnUpstream>(effects).size(), 1U);
  EXPECT_EQ(Only<RunOnUpstream>(effects)[0].task, StartOf(3).task);
}

TEST_F(AgentCoreTest, AQueuedTaskIsReturnedWhenItsDeadlinePasses) {
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Deliver(StartOf(3));
  this->now += milliseconds(300);
  this->Confirm();
  this->now += milliseconds(300);
  const auto effects = this->Handle(AgentTick{});
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].reason, Reason::kDeadlineExceeded);
  EXPECT_EQ(Only<StopOnUpstream>(effects).size(), 2U);
}

TEST_F(AgentCoreTest, QueuedTasksAreReturnedWhenTheUpstreamLeaves) {
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Deliver(StartOf(3));
  const auto effects = this->Handle(UpstreamLeaving{});
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].reason, Reason::kAgentLeaving);
  EXPECT_FALSE(Sent<AgentHeartbeat>(effects).back().load.accepting);
  const auto refused = Sent<TaskNotRun>(this->Deliver(StartOf(4)));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, Reason::kAgentLeaving);
}

// Unless an entry keeps confirming this agent's heartbeats, its tasks must stop
// when the lease expires.
TEST_F(AgentCoreTest, LeasesAreRenewedOnlyWhileAnEntryConfirms) {
  EXPECT_EQ(this->agent.RenewalAt(this->now), LeaseRenewal::kAllowed);
  this->now += Settings().contact_limit + milliseconds(1);
  const auto suspended = Only<RenewalChanged>(this->Handle(AgentTick{}));
  ASSERT_EQ(suspended.size(), 1U);
  EXPECT_EQ(suspended[0].renewal, LeaseRenewal::kSuspended);
  // An entry's heartbeat with an old confirmation has no effect.
  const Timestamp old = this->now - Settings().contact_limit - milliseconds(1);
  EXPECT_TRUE(Only<RenewalChanged>(this->Deliver(EntryHeartbeat{old})).empty());
  const auto allowed = Only<RenewalChanged>(this->Confirm());
  ASSERT_EQ(allowed.size(), 1U);
  EXPECT_EQ(allowed[0].renewal, LeaseRenewal::kAllowed);
}

// After a freeze, a process may find old starts in its buffers. The entries may
// by then count its leases as expired and run the tasks on other agents.
TEST_F(AgentCoreTest, AStartDelayedByAFreezeIsRefused) {
  this->now += std::chrono::seconds(3);
  EXPECT_EQ(this->agent.RenewalAt(this->now), LeaseRenewal::kSuspended);
  const auto effects = this->Deliver(StartOf(1));
  EXPECT_TRUE(Only<RunOnUpstream>(effects).empty());
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].reason, Reason::kContactLost);
}

// The confirmation of another entry may arrive before a start that was sent
// before the loss of contact; the start is outdated all the same.
TEST_F(AgentCoreTest, AStartFromBeforeALossOfContactIsRefused) {
  Start start = StartOf(1);
  start.rerun = RerunPolicy::kAfterLease;
  start.contact = this->now;
  this->now += std::chrono::seconds(2);
  this->Confirm();
  const auto refused = Sent<TaskNotRun>(this->Deliver(start));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, Reason::kContactLost);
  start.contact = this->now;
  ++start.attempt;
  EXPECT_EQ(Only<RunOnUpstream>(this->Deliver(start)).size(), 1U);
}

TEST_F(AgentCoreTest, QueuedTasksAreReturnedOnceContactIsLost) {
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Deliver(StartOf(3));
  this->now += Settings().contact_limit + milliseconds(1);
  const auto effects = this->Handle(UpstreamTaskCompleted{
      StartOf(1).task, UpstreamResult::kSucceeded, Payload(), Duration()});
  EXPECT_TRUE(Only<RunOnUpstream>(effects).empty());
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].task, StartOf(3).task);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].reason, Reason::kContactLost);
}

// Guards against an endless exchange: an entry with a queue sent a demand
// notice after each heartbeat, and the agent answered each notice until the
// next tick.
TEST_F(AgentCoreTest, ADemandNoticeIsAnsweredOncePerChangeOfLoad) {
  this->Deliver(StartOf(1));
  EXPECT_EQ(Sent<AgentHeartbeat>(this->Deliver(DemandNotice{5})).size(), 1U);
  for (int repeated = 0; repeated < 10; ++repeated) {
    EXPECT_TRUE(Sent<AgentHeartbeat>(this->Deliver(DemandNotice{5})).empty());
  }
  this->Deliver(StartOf(2));
  EXPECT_EQ(Sent<AgentHeartbeat>(this->Deliver(DemandNotice{5})).size(), 1U);
}

// The number of heartbeats must not grow with an agent's load, since in a large
// deployment each entry receives them from every agent.
TEST_F(AgentCoreTest, ABusyAgentSendsEachEntryNoMoreThanItsHeartbeats) {
  constexpr Duration kStep = milliseconds(10);
  constexpr Duration kTick = milliseconds(50);
  constexpr Duration kObservationTime = std::chrono::seconds(3);
  const Timestamp end = this->now + kObservationTime;
  std::size_t heartbeats = 0;
  for (std::uint64_t job = 1; this->now < end; ++job) {
    this->Deliver(StartOf(job));
    this->now += kStep;
    this->Confirm();
    this->Handle(UpstreamTaskCompleted{
        StartOf(job).task, UpstreamResult::kSucceeded, Payload(), kStep});
    if (job % (kTick / kStep) != 0) continue;
    heartbeats += Sent<AgentHeartbeat>(this->Handle(AgentTick{})).size();
  }
  const auto due = static_cast<std::size_t>(kObservationTime /
                                            Settings().heartbeat_interval);
  EXPECT_LE(heartbeats, due + 1);
  EXPECT_GE(heartbeats, due);
}

// Guards against a fault in which a heartbeat without free capacity cleared the
// recorded demand, so that each entry with a queue had to send another notice
// after each heartbeat.
TEST_F(AgentCoreTest, AFullAgentRemembersWhichEntriesHaveDemand) {
  const EntryId waiting(2);
  this->Handle(EntryConnected{waiting});
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Handle(EntryMessageReceived{waiting, DemandNotice{3}});
  this->now += Settings().heartbeat_interval;
  this->Confirm();
  EXPECT_FALSE(Sent<AgentHeartbeat>(this->Handle(AgentTick{})).empty());
  const auto effects = this->Handle(UpstreamTaskCompleted{
      StartOf(1).task, UpstreamResult::kSucceeded, Payload(), Duration()});
  std::vector<EntryId> receivers;
  for (const SendToEntry& sent : Only<SendToEntry>(effects)) {
    if (std::holds_alternative<AgentHeartbeat>(sent.message)) {
      receivers.push_back(sent.to);
    }
  }
  EXPECT_EQ(receivers, std::vector<EntryId>{waiting});
}

constexpr std::uint64_t kCores = kMillicoresPerCore;

// An agent whose upstream announces another capacity while tasks run.
class CapacityChangeTest : public AgentCoreTest {
 protected:
  std::vector<AgentEffect> Announce(std::uint64_t millicores) {
    AgentDescription description;
    description.capacity.millicores = millicores;
    return this->Handle(UpstreamAnnounced{description});
  }
  static Start StartNeeding(std::uint64_t job, std::uint64_t millicores) {
    Start start = StartOf(job);
    start.request.need.millicores = millicores;
    return start;
  }
  std::vector<AgentEffect> Complete(std::uint64_t job) {
    return this->Handle(UpstreamTaskCompleted{
        StartOf(job).task, UpstreamResult::kSucceeded, Payload(), Duration()});
  }
  static std::vector<std::uint64_t> Started(
      const std::vector<AgentEffect>& effects) {
    std::vector<std::uint64_t> jobs;
    for (const RunOnUpstream& run : Only<RunOnUpstream>(effects)) {
      jobs.push_back(run.task.key.low);
    }
    return jobs;
  }
  static std::vector<std::uint64_t> Returned(
      const std::vector<AgentEffect>& effects) {
    std::vector<std::uint64_t> jobs;
    for (const TaskNotRun& returned : Sent<TaskNotRun>(effects)) {
      EXPECT_EQ(returned.reason, Reason::kNoFreeSlot);
      jobs.push_back(returned.task.key.low);
    }
    return jobs;
  }
};

struct CapacityCase {
  const char* name;
  std::uint64_t millicores;
  std::vector<std::uint64_t> started;
  std::vector<std::uint64_t> returned;
};

class QueueAfterCapacityChangeTest
    : public CapacityChangeTest,
      public testing::WithParamInterface<CapacityCase> {
 protected:
  // Jobs 1 and 2 run on all 8 cores; jobs 3 and 4 wait for 3 cores and for one.
  QueueAfterCapacityChangeTest() {
    this->Announce(8 * kCores);
    this->Deliver(StartNeeding(1, 4 * kCores));
    this->Deliver(StartNeeding(2, 4 * kCores));
    this->Deliver(StartNeeding(3, 3 * kCores));
    this->Deliver(StartNeeding(4, 1 * kCores));
  }
};

// Guards against queued starts that wait for capacity which is there already,
// or which the upstream no longer has.
TEST_P(QueueAfterCapacityChangeTest, StartsWhatFitsAndReturnsWhatNeverFits) {
  const CapacityCase& tested = this->GetParam();
  const auto effects = this->Announce(tested.millicores);
  EXPECT_EQ(Started(effects), tested.started);
  EXPECT_EQ(Returned(effects), tested.returned);
}

// Guards against entries that send starts by an outdated capacity.
TEST_P(QueueAfterCapacityChangeTest, EntriesAreToldAtOnce) {
  const CapacityCase& tested = this->GetParam();
  const auto effects = this->Announce(tested.millicores);
  ASSERT_EQ(Sent<Register>(effects).size(), 1U);
  EXPECT_EQ(Sent<Register>(effects)[0].description.capacity.millicores,
            tested.millicores);
  ASSERT_FALSE(Sent<AgentHeartbeat>(effects).empty());
  const AgentLoad load = Sent<AgentHeartbeat>(effects).back().load;
  EXPECT_EQ(load.capacity.millicores, tested.millicores);
  EXPECT_TRUE(load.accepting);
  std::uint64_t running = 8 * kCores;
  std::uint64_t waiting = 4 * kCores;
  for (const std::uint64_t job : tested.started) {
    const std::uint64_t need = job == 3 ? 3 * kCores : kCores;
    running += need;
    waiting -= need;
  }
  for (const std::uint64_t job : tested.returned) {
    waiting -= job == 3 ? 3 * kCores : kCores;
  }
  EXPECT_EQ(load.running.millicores, running);
  EXPECT_EQ(load.waiting.millicores, waiting);
}

// Guards against a start that is lost or runs twice since the upstream was
// announced again while it was on its way.
TEST_P(QueueAfterCapacityChangeTest, EachStartRunsOnceOrIsReturned) {
  std::vector<AgentEffect> all = this->Announce(this->GetParam().millicores);
  const auto append = [&](std::vector<AgentEffect> effects) {
    for (AgentEffect& effect : effects) all.push_back(std::move(effect));
  };
  append(this->Deliver(StartNeeding(3, 3 * kCores)));
  append(this->Deliver(StartNeeding(4, 1 * kCores)));
  append(this->Complete(1));
  append(this->Complete(2));
  const std::vector<std::uint64_t> started = Started(all);
  for (const std::uint64_t job : {3, 4}) {
    const auto runs = std::count(started.begin(), started.end(), job);
    const std::vector<std::uint64_t>& returned = this->GetParam().returned;
    const auto expected = 1 - std::count(returned.begin(), returned.end(), job);
    EXPECT_EQ(runs, expected) << job;
  }
  EXPECT_EQ(Sent<TaskFinished>(all).size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Capacities, QueueAfterCapacityChangeTest,
    testing::Values(CapacityCase{"BelowWhatRuns", 6 * kCores, {}, {}},
                    CapacityCase{
                        "BelowTheFirstInTheQueue", 2 * kCores, {}, {3}},
                    CapacityCase{"BelowAllQueued", kCores / 2, {}, {3, 4}},
                    CapacityCase{"EnoughForOneMore", 11 * kCores, {3}, {}},
                    CapacityCase{"EnoughForAll", 12 * kCores, {3, 4}, {}}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a start over the shrunk capacity, whether it was queued before
// or arrives later: a task that is being stopped occupies it until it ends.
TEST_F(CapacityChangeTest, TasksBeingStoppedCountAgainstAShrunkCapacity) {
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Deliver(StartOf(3));
  std::vector<AgentEffect> effects = this->Deliver(StopTask{StartOf(1).task});
  EXPECT_EQ(Only<StopOnUpstream>(effects).size(), 1U);
  EXPECT_TRUE(Started(this->Announce(kCores)).empty());
  EXPECT_TRUE(Started(this->Complete(2)).empty());
  EXPECT_TRUE(Started(this->Deliver(StartOf(4))).empty());
  EXPECT_EQ(Started(this->Complete(1)), std::vector<std::uint64_t>{3});
}

// Guards against a start over the capacity when it shrinks and grows again
// while tasks run.
TEST_F(CapacityChangeTest, ACapacityThatReturnsIsUsedOnce) {
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Announce(kCores);
  EXPECT_TRUE(Started(this->Deliver(StartOf(3))).empty());
  EXPECT_TRUE(Started(this->Announce(2 * kCores)).empty());
  EXPECT_EQ(Started(this->Announce(3 * kCores)), std::vector<std::uint64_t>{3});
}

// Guards against registrations and announcements to all entries whenever the
// view changes: an entry that knows the agent needs neither again.
TEST_F(AgentCoreTest, AJoinIsFollowedByARegistrationWithTheJoinerOnly) {
  ViewMember member;
  member.entry = EntryId(kEntry);
  ViewMember joiner;
  joiner.entry = EntryId(2);
  joiner.peer_endpoint.port = 2;
  const View view =
      WithMember(WithMember(View(), member, this->now), joiner, this->now);
  std::vector<AgentEffect> effects =
      this->Deliver(RegisterAcknowledged{view, {}, false});
  EXPECT_TRUE(Sent<Register>(effects).empty());
  effects = this->Handle(EntryConnected{EntryId(2)});
  EXPECT_EQ(Sent<Register>(effects).size(), 1U);
  effects = this->Handle(
      EntryMessageReceived{EntryId(2), RegisterAcknowledged{view, {}}});
  EXPECT_EQ(Sent<AgentReady>(effects).size(), 1U);
}

// Guards against an agent that takes starts of a home whose ballots it has not
// taken over: the view alone is no acknowledgement.
TEST(AgentRegistrationTest, AViewWithoutPromisesDoesNotMakeAnAgentReady) {
  AgentCoreSettings settings;
  settings.self = AgentId(7);
  settings.bucket_count = 1;
  AgentCore agent(settings);
  const Timestamp now(std::chrono::seconds(5));
  ViewMember member;
  member.entry = EntryId(kEntry);
  const View view = WithMember(View(), member, now);
  agent.Handle(UpstreamAnnounced{}, now);
  agent.Handle(EntryConnected{EntryId(kEntry)}, now);
  agent.Handle(EntryMessageReceived{EntryId(kEntry),
                                    RegisterAcknowledged{view, {}, false}},
               now);
  EXPECT_FALSE(agent.is_ready());
  agent.Handle(EntryMessageReceived{EntryId(kEntry),
                                    RegisterAcknowledged{view, {}, true}},
               now);
  EXPECT_TRUE(agent.is_ready());
}

// Guards against a body that is sent once for each task of a job, and against
// a start with another job's body.
TEST_F(AgentCoreTest, ARepeatedBodyIsTakenFromThePrecedingStart) {
  Start first = StartOf(1);
  first.request.body = Payload::FromBytes("body");
  Start second = StartOf(2);
  second.repeated_body = first.request.body.digest();
  this->Deliver(first);
  const auto runs = Only<RunOnUpstream>(this->Deliver(second));
  ASSERT_EQ(runs.size(), 1U);
  EXPECT_EQ(runs.front().body, first.request.body);
  Start unknown = StartOf(3);
  unknown.repeated_body = first.request.body.digest() + 1;
  EXPECT_EQ(Sent<TaskNotRun>(this->Deliver(unknown)).size(), 1U);
}

struct SuspicionCase {
  std::string name;
  // The earlier losses under the two tasks that run when the upstream is lost.
  std::size_t first;
  std::size_t second;
  std::vector<LossRole> expected;
};

class SuspicionTestBase : public AgentCoreTest {
 protected:
  static Start StartAfterLosses(std::uint64_t job, std::size_t count) {
    Start start = StartOf(job);
    for (std::size_t i = 0; i < count; ++i) {
      start.losses.push_back(
          {AgentId(50 + i), start.Number(), LossRole::kSuspect});
    }
    return start;
  }
};

class SuspicionTest : public SuspicionTestBase,
                      public testing::WithParamInterface<SuspicionCase> {};

// Guards against bystanders that are charged with the loss of an upstream
// although a task that ran beside them had crashed others before.
TEST_P(SuspicionTest, TheTaskWithTheMostEarlierLossesIsSuspected) {
  this->Deliver(StartAfterLosses(1, this->GetParam().first));
  this->Deliver(StartAfterLosses(2, this->GetParam().second));
  this->Handle(UpstreamLost{"i-1", LossEvidence::kSilent});
  std::vector<LossRole> roles;
  for (const std::uint64_t job : {1, 2}) {
    const auto sent = Sent<TaskFinished>(this->Handle(UpstreamTaskCompleted{
        StartOf(job).task, UpstreamResult::kBroken, Payload(), Duration()}));
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_FALSE(sent[0].report.losses.empty());
    EXPECT_EQ(sent[0].report.losses.back().agent, AgentId(7));
    roles.push_back(sent[0].report.losses.back().role);
  }
  EXPECT_EQ(roles, this->GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    EarlierLosses, SuspicionTest,
    testing::Values(
        SuspicionCase{"None", 0, 0, {LossRole::kSuspect, LossRole::kSuspect}},
        SuspicionCase{
            "First", 1, 0, {LossRole::kSuspect, LossRole::kBystander}},
        SuspicionCase{"Both", 1, 1, {LossRole::kSuspect, LossRole::kSuspect}}),
    [](const auto& test) { return test.param.name; });

struct RecentLossCase {
  std::string name;
  // How long before the break the two tasks started, and their earlier losses.
  std::vector<Duration> ages;
  std::vector<std::size_t> losses;
  std::vector<JobGroupId> suspects;
};

class RecentLossTest : public SuspicionTestBase,
                       public testing::WithParamInterface<RecentLossCase> {
 protected:
  void StartTasks() {
    const Timestamp broken_at = this->now + std::chrono::milliseconds(400);
    for (const std::size_t i : {0U, 1U}) {
      this->now = broken_at - this->GetParam().ages[i];
      this->Confirm();
      Start start = StartAfterLosses(i + 1, this->GetParam().losses[i]);
      start.group = JobGroupId(i + 1);
      this->Deliver(start);
    }
    this->now = broken_at;
    this->Confirm();
  }
  // The losses that the latest heartbeat of `effects` tells.
  static std::vector<RecentLoss> Told(const std::vector<AgentEffect>& effects) {
    const auto heartbeats = Sent<AgentHeartbeat>(effects);
    return heartbeats.empty() ? std::vector<RecentLoss>()
                              : heartbeats.back().recent_losses;
  }
};

// Guards against entries that go on placing tasks of a group that crashes
// upstreams, and against bystanders' groups that are blamed for it.
TEST_P(RecentLossTest, ABreakNamesTheGroupsOfItsSuspectsAtOnce) {
  this->StartTasks();
  this->now += milliseconds(3);
  const auto told =
      Told(this->Handle(UpstreamContactBroken{"i-1", milliseconds(3)}));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].number, 1U);
  EXPECT_EQ(told[0].age, milliseconds(3));
  EXPECT_EQ(told[0].suspects, this->GetParam().suspects);
}

INSTANTIATE_TEST_SUITE_P(
    Tasks, RecentLossTest,
    testing::Values(RecentLossCase{"NoneStandsOut",
                                   {milliseconds(300), milliseconds(200)},
                                   {0, 0},
                                   {}},
                    RecentLossCase{"OneJustStarted",
                                   {milliseconds(300), milliseconds(10)},
                                   {0, 0},
                                   {JobGroupId(2)}},
                    RecentLossCase{"BothJustStarted",
                                   {milliseconds(12), milliseconds(10)},
                                   {0, 0},
                                   {JobGroupId(1), JobGroupId(2)}},
                    RecentLossCase{"AnEarlierLossWeighsMore",
                                   {milliseconds(300), milliseconds(10)},
                                   {1, 0},
                                   {JobGroupId(1)}},
                    RecentLossCase{"EarlierLossesAndAStart",
                                   {milliseconds(300), milliseconds(10)},
                                   {1, 1},
                                   {JobGroupId(2)}}),
    [](const auto& test) { return test.param.name; });

// A loss that the entries learn of in time must not depend on one heartbeat.
TEST_F(AgentCoreTest, ALossIsRepeatedForSomeSecondsWithItsAge) {
  this->Deliver(StartOf(1));
  this->Handle(UpstreamContactBroken{"i-1", Duration()});
  this->now += std::chrono::seconds(2);
  auto told = Sent<AgentHeartbeat>(this->Handle(AgentTick{}));
  ASSERT_FALSE(told.empty());
  ASSERT_EQ(told.back().recent_losses.size(), 1U);
  EXPECT_EQ(told.back().recent_losses[0].age, std::chrono::seconds(2));
  this->now += std::chrono::seconds(10);
  told = Sent<AgentHeartbeat>(this->Handle(AgentTick{}));
  ASSERT_FALSE(told.empty());
  EXPECT_TRUE(told.back().recent_losses.empty());
}

// Guards against one crash that counts as two: contact breaks first, and the
// end of the upstream is known only later.
TEST_F(AgentCoreTest, ABreakAndTheLossThatFollowsAreToldOnce) {
  this->Deliver(StartOf(1));
  this->Handle(UpstreamContactBroken{"i-1", Duration()});
  this->Handle(UpstreamContactChanged{UpstreamContact::kSilent});
  this->now += milliseconds(1200);
  this->Confirm();
  this->Handle(UpstreamLost{"i-1", LossEvidence::kSilent});
  this->now += milliseconds(200);
  const auto told = Sent<AgentHeartbeat>(this->Handle(AgentTick{}));
  ASSERT_FALSE(told.empty());
  EXPECT_EQ(told.back().recent_losses.size(), 1U);
}

TEST_F(AgentCoreTest, ABreakAfterWhichTheUpstreamAnswersIsWithdrawn) {
  this->Deliver(StartOf(1));
  this->Handle(UpstreamContactBroken{"i-1", Duration()});
  const auto told = Sent<AgentHeartbeat>(
      this->Handle(UpstreamContactChanged{UpstreamContact::kAnswering}));
  ASSERT_FALSE(told.empty());
  EXPECT_TRUE(told.back().recent_losses.empty());
}

// Silence does not tell when the upstream was lost, so tasks that have just
// started are no more likely than others.
TEST_F(AgentCoreTest, AnUpstreamThatOnlyGotSilentNamesNoGroup) {
  Start start = StartOf(1);
  start.group = JobGroupId(1);
  this->Deliver(start);
  this->Handle(UpstreamLost{"i-1", LossEvidence::kSilent});
  const auto told = Sent<AgentHeartbeat>(this->Handle(AgentTick{}));
  ASSERT_FALSE(told.empty());
  ASSERT_EQ(told.back().recent_losses.size(), 1U);
  EXPECT_TRUE(told.back().recent_losses[0].suspects.empty());
}

// Guards against starts that fail one after the other, or wait, at an upstream
// whose connections are refused.
TEST_F(AgentCoreTest, ABreakReturnsQueuedStartsAndRefusesNewOnes) {
  this->Deliver(StartOf(1));
  this->Deliver(StartOf(2));
  this->Deliver(StartOf(3));
  const auto effects =
      this->Handle(UpstreamContactBroken{"i-1", milliseconds(3)});
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].task, StartOf(3).task);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].reason, Reason::kUpstreamUnreachable);
  EXPECT_FALSE(Sent<AgentHeartbeat>(effects).back().load.accepting);
  const auto refused = Sent<TaskNotRun>(this->Deliver(StartOf(4)));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, Reason::kUpstreamUnreachable);
}

// Guards against a bystander that is given up since it ran on two upstreams
// that others crashed.
TEST_F(AgentCoreTest, ATaskThatRanLongBeforeTheBreakIsABystander) {
  this->Deliver(StartOf(1));
  this->now += milliseconds(300);
  this->Confirm();
  this->Deliver(StartOf(2));
  this->now += milliseconds(10);
  this->Handle(UpstreamContactBroken{"i-1", Duration()});
  this->now += milliseconds(1200);
  this->Handle(UpstreamLost{"i-1", LossEvidence::kSilent});
  std::vector<LossRole> roles;
  for (const std::uint64_t job : {1, 2}) {
    const auto sent = Sent<TaskFinished>(this->Handle(UpstreamTaskCompleted{
        StartOf(job).task, UpstreamResult::kBroken, Payload(), Duration()}));
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_EQ(sent[0].report.losses.size(), 1U);
    roles.push_back(sent[0].report.losses[0].role);
  }
  const std::vector<LossRole> expected = {LossRole::kBystander,
                                          LossRole::kSuspect};
  EXPECT_EQ(roles, expected);
}

// Guards against a loss that only the agent's former home knew.
TEST_F(AgentCoreTest, ALossIsReportedToTheNextHome) {
  this->Deliver(StartOf(1));
  this->Handle(UpstreamLost{"i-1", LossEvidence::kSilent});
  this->Handle(UpstreamTaskCompleted{StartOf(1).task, UpstreamResult::kBroken,
                                     Payload(), Duration()});
  PromiseRequest request;
  request.buckets.push_back({BucketId(0), {Epoch(2), 0, EntryId(kEntry)}});
  const auto replies = Sent<AgentPromiseReply>(this->Deliver(request));
  ASSERT_EQ(replies.size(), 1U);
  ASSERT_EQ(replies[0].losses.size(), 1U);
  EXPECT_EQ(replies[0].losses[0].task, StartOf(1).task);
  EXPECT_EQ(replies[0].losses[0].losses.size(), 1U);
}

// Guards against a reply with all that the agent has started, which fills the
// entry's link when many agents are asked at once.
TEST_F(AgentCoreTest, APromiseListsTheStartedJobsInParts) {
  for (std::uint64_t job = 1; job <= 3; ++job) this->Deliver(StartOf(job));
  this->Handle(UpstreamLost{"i-1", LossEvidence::kSilent});
  PromiseRequest request;
  request.sequence = 5;
  request.maximum_listed = 2;
  request.buckets.push_back({BucketId(0), {Epoch(2), 0, EntryId(kEntry)}});
  const auto first = Sent<AgentPromiseReply>(this->Deliver(request));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].part.sequence, 5U);
  EXPECT_EQ(first[0].started.size(), 2U);
  EXPECT_TRUE(first[0].losses.empty());
  ASSERT_TRUE(first[0].part.resume_after);
  request.after = first[0].part.resume_after;
  const auto second = Sent<AgentPromiseReply>(this->Deliver(request));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].part.after, request.after);
  ASSERT_EQ(second[0].started.size(), 1U);
  EXPECT_EQ(second[0].started[0].key, StartOf(3).task.key);
  EXPECT_FALSE(second[0].part.resume_after);
  // Two of the three tasks were running, on two cores.
  EXPECT_EQ(second[0].losses.size(), 2U);
}

// Guards against a bucket that is promised without the list of its started
// tasks: its home would start them again.
TEST(AgentPromiseTest, ABucketThatTheListDoesNotReachIsNotPromised) {
  constexpr std::uint32_t kBuckets = 4;
  StartedSet set{StartedSetLimits{}};
  for (std::uint64_t job = 0; job < 40; ++job) {
    Start start;
    start.task = {{job, job}, TaskIndex(0)};
    set.Insert(start, Timestamp());
  }
  const std::vector<BucketId> all = {BucketId(0), BucketId(1), BucketId(2),
                                     BucketId(3)};
  StartedQuery query{all, kBuckets, std::nullopt, 7};
  std::set<JobKey> listed;
  std::size_t parts = 0;
  while (!query.buckets.empty()) {
    const StartedList list = set.List(query);
    EXPECT_LE(list.jobs.size(), 7U);
    for (const StartedJob& job : list.jobs) {
      EXPECT_TRUE(listed.insert(job.key).second);
    }
    const auto complete =
        static_cast<std::ptrdiff_t>(list.covered - (list.resume_after ? 1 : 0));
    for (auto it = query.buckets.begin();
         it != query.buckets.begin() + complete; ++it) {
      for (std::uint64_t job = 0; job < 40; ++job) {
        const JobKey key{job, job};
        if (BucketOf(key, kBuckets) != *it) continue;
        EXPECT_TRUE(listed.contains(key));
      }
    }
    query.buckets.erase(query.buckets.begin(),
                        query.buckets.begin() + complete);
    query.after = list.resume_after;
    ++parts;
  }
  EXPECT_EQ(listed.size(), 40U);
  EXPECT_EQ(parts, 6U);
}

EvacuationSet SetOf(std::uint64_t version,
                    const std::vector<std::string>& names) {
  return {EvacuationVersion(version), {names.begin(), names.end()}};
}

struct EvacuationCase {
  const char* name;
  std::vector<EvacuationSet> told;
  bool starts;
};

class EvacuatedAgentTest : public AgentCoreTest,
                           public testing::WithParamInterface<EvacuationCase> {
};

// Guards against a start in an evacuated data centre by a home that is cut off
// from the table and the other entries: the agent is the last to check it.
TEST_P(EvacuatedAgentTest, AStartOfAnUninformedHomeIsRefusedWhileEvacuated) {
  const EntryId uninformed(kEntry + 1);
  this->Handle(EntryConnected{uninformed});
  for (const EvacuationSet& told : this->GetParam().told) {
    this->Deliver(EntryHeartbeat{this->now, told});
  }
  const bool starts = this->GetParam().starts;
  EXPECT_EQ(this->agent.is_evacuated(), !starts);
  Start start = StartOf(1);
  start.ballot.entry = uninformed;
  const auto effects = this->Handle(EntryMessageReceived{uninformed, start});
  EXPECT_EQ(Only<RunOnUpstream>(effects).size(), starts ? 1U : 0U);
  const auto refused = Sent<TaskNotRun>(effects);
  ASSERT_EQ(refused.size(), starts ? 0U : 1U);
  if (starts) return;
  // An entry that tells of no evacuations may not know the reason.
  EXPECT_EQ(refused[0].reason, Reason::kNoFreeSlot);
  EXPECT_FALSE(refused[0].load.accepting);
  EXPECT_FALSE(refused[0].load.leaving);
}

INSTANTIATE_TEST_SUITE_P(
    Sets, EvacuatedAgentTest,
    testing::Values(
        EvacuationCase{"Nothing", {}, true},
        EvacuationCase{"Elsewhere", {SetOf(5, {"b"})}, true},
        EvacuationCase{"OneOfTwo", {SetOf(5, {"a", "b"})}, false},
        EvacuationCase{"Returned", {SetOf(5, {"a"}), SetOf(6, {})}, true},
        EvacuationCase{"OlderReturn", {SetOf(5, {"a"}), SetOf(4, {})}, false},
        EvacuationCase{
            "OlderEvacuation", {SetOf(5, {}), SetOf(4, {"a"})}, true}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a start that waits in the agent's queue and is carried out
// long after the evacuation; what runs may end.
TEST_F(AgentCoreTest, QueuedTasksAreReturnedWhenTheDataCentreIsEvacuated) {
  for (const std::uint64_t job : {1, 2, 3}) this->Deliver(StartOf(job));
  const auto effects =
      this->Deliver(EntryHeartbeat{this->now, SetOf(5, {"a"})});
  ASSERT_EQ(Sent<TaskNotRun>(effects).size(), 1U);
  EXPECT_EQ(Sent<TaskNotRun>(effects)[0].reason, Reason::kDataCentreEvacuated);
  EXPECT_TRUE(Only<StopOnUpstream>(effects).empty());
  EXPECT_EQ(this->agent.running(), 2U);
  // The entries hear of it at once, and one that restarts when it connects.
  ASSERT_EQ(Sent<AgentHeartbeat>(effects).size(), 1U);
  EXPECT_FALSE(Sent<AgentHeartbeat>(effects)[0].load.accepting);
  EXPECT_EQ(Sent<AgentHeartbeat>(effects)[0].evacuations, EvacuationVersion(5));
  const auto registered =
      Sent<Register>(this->Handle(EntryConnected{EntryId(kEntry)}));
  ASSERT_EQ(registered.size(), 1U);
  EXPECT_EQ(registered[0].evacuations, SetOf(5, {"a"}));
  EXPECT_EQ(registered[0].description.data_centre, DataCentreName("a"));
  this->Deliver(RegisterAcknowledged{View(), {}, true, SetOf(6, {})});
  EXPECT_FALSE(this->agent.is_evacuated());
}

// How long an agent without an upstream has run, and whether it reports then
// that no task of an earlier agent is left at its address.
struct VacancyCase {
  const char* name;
  Duration tick_interval;
  std::uint32_t ticks = 0;
  bool has_upstream = false;
  bool is_vacant = false;
  // Whether the table says so of the agents before this one.
  bool is_found_vacant = false;
};

class VacancyTest : public testing::TestWithParam<VacancyCase> {};

// Guards against two runs of one task: what an earlier agent has started runs
// on until its lease expires, or begins late, while entries that join take it
// for over.
TEST_P(VacancyTest, IsReportedOnceNoTaskOfAnEarlierAgentCanRun) {
  const VacancyCase& tested = this->GetParam();
  AgentCoreSettings settings;
  settings.self = AgentId(7);
  settings.bucket_count = 1;
  settings.admin_endpoint = {"10.0.0.1", 80};
  settings.predecessor_run_time =
      MaximumRunTime(std::chrono::seconds(1), StartConfirmation::kUnconfirmed);
  AgentCore agent(settings);
  Timestamp now{std::chrono::seconds(1000)};
  if (tested.has_upstream) agent.Handle(UpstreamAnnounced{}, now);
  if (tested.is_found_vacant) agent.Handle(AddressFoundVacant{}, now);
  agent.Handle(EntryConnected{EntryId(kEntry)}, now);
  std::optional<Endpoint> reported;
  for (std::uint32_t i = 0; i < tested.ticks; ++i) {
    now += tested.tick_interval;
    for (const AgentEffect& effect : agent.Handle(AgentTick{}, now)) {
      const auto* sent = std::get_if<SendToEntry>(&effect);
      if (sent == nullptr) continue;
      const auto* heartbeat = std::get_if<AgentHeartbeat>(&sent->message);
      if (heartbeat != nullptr) reported = heartbeat->vacant_address;
    }
  }
  EXPECT_EQ(reported.has_value(), tested.is_vacant);
  if (tested.is_vacant) {
    EXPECT_EQ(reported, settings.admin_endpoint);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ages, VacancyTest,
    testing::Values(
        VacancyCase{"LateOrdersMayRun", milliseconds(50), 263, false, false},
        VacancyCase{"NothingMayRun", milliseconds(50), 268, false, true},
        VacancyCase{"HasAnUpstream", milliseconds(50), 268, true, false},
        VacancyCase{"ClockWasSetForward", std::chrono::seconds(1), 200, false,
                    false},
        VacancyCase{"TableSaysSo", milliseconds(50), 4, false, true, true},
        VacancyCase{"TableSaysSoBeforeAnUpstreamCame", milliseconds(50), 4,
                    true, false, true}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct ReleaseCase {
  const char* name;
  // Whether the upstream has announced its end before it falls silent.
  bool departs = false;
  // Whether a task runs, with its result unknown.
  bool is_busy = false;
  std::chrono::milliseconds silent_for{};
  bool is_released = false;
};

class ReleaseTest : public AgentCoreTest,
                    public testing::WithParamInterface<ReleaseCase> {
 protected:
  ReleaseTest() : AgentCoreTest(ClaimingSettings()) {
    this->Claim();
    this->Confirm();
  }
  static AgentCoreSettings ClaimingSettings() {
    AgentCoreSettings settings = Settings();
    settings.claims_address = true;
    return settings;
  }
  // The address is listed, a view is read after that, and its entry knows the
  // agent.
  void Claim() {
    this->Handle(AddressClaimed{this->first_view});
    this->Deliver(RegisterAcknowledged{this->first_view, {}});
  }
  // Falls silent for the time of the case. Returns whether the address is
  // released.
  bool FallSilent() {
    if (this->GetParam().is_busy) this->Deliver(StartOf(1));
    if (this->GetParam().departs) this->Handle(UpstreamLeaving{});
    this->Handle(UpstreamContactChanged{UpstreamContact::kSilent});
    bool is_released = false;
    const Timestamp until = this->now + this->GetParam().silent_for;
    while (this->now < until) {
      this->now += milliseconds(50);
      this->Confirm();
      is_released = is_released ||
                    !Only<ReleaseAddress>(this->Handle(AgentTick{})).empty();
    }
    return is_released;
  }
  // Starts another task. Returns whether it runs.
  bool Starts(std::uint64_t job) {
    return !Only<RunOnUpstream>(this->Deliver(StartOf(job))).empty();
  }
};

// Guards against entries that join after a loss of all processes and wait for
// an upstream that is gone for good; and against an address that is released
// while a task runs there or may begin to.
TEST_P(ReleaseTest, AnAddressIsReleasedOnceItsUpstreamIsGone) {
  EXPECT_EQ(this->FallSilent(), this->GetParam().is_released);
}

// Guards against entries that take the address of an agent that returns for
// released: they may have released it after a silence for longer than a late
// order takes.
TEST_P(ReleaseTest, AfterALongSilenceTheAddressIsClaimedAgain) {
  for (const bool is_long : {false, true}) {
    this->now += is_long ? std::chrono::seconds(9) : std::chrono::seconds(7);
    this->Handle(AgentTick{});
    const auto claims = Only<ClaimAddress>(this->Confirm());
    EXPECT_EQ(!claims.empty(), is_long);
    EXPECT_EQ(this->Starts(1), !is_long);
  }
  this->Claim();
  EXPECT_TRUE(this->Starts(2));
}

// Guards against an agent that returns after a long silence and reports its
// address as vacant, although a start that its upstream has not answered may
// still begin.
TEST_P(ReleaseTest, AnAddressWithATaskIsNotReportedAsVacant) {
  if (!this->GetParam().is_busy) return;
  this->Deliver(StartOf(1));
  this->Handle(UpstreamContactChanged{UpstreamContact::kSilent});
  this->now += std::chrono::seconds(9);
  this->Confirm();
  this->now += milliseconds(200);
  const auto heartbeats = Sent<AgentHeartbeat>(this->Handle(AgentTick{}));
  ASSERT_EQ(heartbeats.size(), 1U);
  EXPECT_FALSE(heartbeats.front().vacant_address.has_value());
}

// Guards against tasks of an agent that entries which have joined meanwhile
// don't know: it starts none before its address is listed and it has asked the
// members of a view that was read after that.
TEST_P(ReleaseTest, AfterAReleaseTheAddressIsClaimedBeforeAnyTaskStarts) {
  const bool was_released = this->FallSilent();
  const auto claims = Only<ClaimAddress>(this->Announce());
  EXPECT_EQ(!claims.empty(), was_released);
  EXPECT_EQ(this->Starts(2), !was_released);
  if (!was_released) return;
  this->Deliver(RegisterAcknowledged{this->first_view, {}});
  this->Handle(AgentViewRead{this->first_view});
  EXPECT_FALSE(this->Starts(3));
  this->Handle(AddressClaimed{this->first_view});
  EXPECT_TRUE(this->Starts(5));
}

INSTANTIATE_TEST_SUITE_P(
    Silences, ReleaseTest,
    testing::Values(
        ReleaseCase{"Short", false, false, milliseconds(4'900), false},
        ReleaseCase{"Long", false, false, milliseconds(5'100), true},
        ReleaseCase{"Departed", true, false, milliseconds(50), true},
        ReleaseCase{"Busy", true, true, milliseconds(400), false}),
    [](const auto& tested) { return std::string(tested.param.name); });

// The pauses of an agent between readings of the view after it has lost contact
// with the entries, and how many of them fit into the first half second.
struct ViewReadingCase {
  std::uint64_t agent;
  std::size_t at_least;
};

class ViewReadingTest : public testing::TestWithParam<ViewReadingCase> {};

// Guards against agents that learn of restarted entries a second late, and
// against a crowd at the table while no entry returns.
TEST_P(ViewReadingTest, IsFrequentAtFirst) {
  ViewReading reading{AgentId(this->GetParam().agent)};
  std::size_t early = 0;
  Duration total{};
  for (int i = 0; i < 20; ++i) {
    total += reading.NextPause(LeaseRenewal::kSuspended);
    if (total <= milliseconds(500)) ++early;
  }
  EXPECT_GE(early, this->GetParam().at_least);
  EXPECT_GE(reading.NextPause(LeaseRenewal::kSuspended),
            std::chrono::seconds(1));
  EXPECT_GE(reading.NextPause(LeaseRenewal::kAllowed), std::chrono::seconds(1));
  EXPECT_LE(reading.NextPause(LeaseRenewal::kSuspended), milliseconds(180));
}

INSTANTIATE_TEST_SUITE_P(Agents, ViewReadingTest,
                         testing::Values(ViewReadingCase{0, 3},
                                         ViewReadingCase{49, 2}));

}  // namespace
}  // namespace dandelionspur
