#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_MESSAGES_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_MESSAGES_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/base/resources.h"
#include "libraries/protocol/entry_messages.h"
#include "libraries/protocol/job.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// Without a word from an entry that has heard an agent for this long, the
// agent renews the lease of its upstream no more. Three heartbeats.
inline constexpr Duration kContactLimit = std::chrono::milliseconds(450);

// How long, on our clock, what runs under a lease can go on after it was given:
// the upstream's clock may be 2% slow, and it takes a moment to end what has
// lapsed.
[[nodiscard]] constexpr Duration LongestLease(Duration lease) {
  constexpr std::int64_t kSlowClockPercent = 102;
  constexpr Duration kLapseSlack = std::chrono::milliseconds(150);
  return lease * kSlowClockPercent / 100 + kLapseSlack;
}

struct TaskId {
  JobKey key;
  TaskIndex task;
  auto operator<=>(const TaskId&) const = default;
};
BOOST_DESCRIBE_STRUCT(TaskId, (), (key, task))

// What an upstream announces, and its agent passes on.
struct AgentDescription {
  AgentId agent;
  ServiceName service;
  std::string upstream;
  std::string rack;
  Resources capacity;
  // Probed to tell a dead agent from a silent one.
  Endpoint admin_endpoint;
  bool operator==(const AgentDescription&) const = default;
};
BOOST_DESCRIBE_STRUCT(AgentDescription, (),
                      (agent, service, upstream, rack, capacity,
                       admin_endpoint))

// Sent to every entry of the view; the agent takes no start before all of
// them have answered for that view.
struct Register {
  static constexpr const char* kName = "register";
  AgentDescription description;
  Epoch epoch;
};
BOOST_DESCRIBE_STRUCT(Register, (), (description, epoch))

// Every entry of the view `epoch` has acknowledged the agent.
struct AgentReady {
  static constexpr const char* kName = "agent_ready";
  Epoch epoch;
};
BOOST_DESCRIBE_STRUCT(AgentReady, (), (epoch))

// Tells the starts of one task apart: each home counts them under its ballot.
struct StartNumber {
  Ballot ballot;
  std::uint32_t attempt = 0;
  auto operator<=>(const StartNumber&) const = default;
};
BOOST_DESCRIBE_STRUCT(StartNumber, (), (ballot, attempt))

BOOST_DEFINE_ENUM_CLASS(StartedState, kNeverStarted, kRunning, kFinished)

// What an agent knows of one task.
struct TaskReport {
  TaskId task;
  StartedState state = StartedState::kNeverStarted;
  TaskOutcome outcome = TaskOutcome::kUnknown;
  // Empty also where the answer was no longer kept; `result_kept` tells.
  Payload result;
  bool result_kept = false;
  // The latest start that this is about.
  StartNumber start;
};
BOOST_DESCRIBE_STRUCT(TaskReport, (),
                      (task, state, outcome, result, result_kept, start))

// How full an agent's upstream is, as told to one entry.
struct AgentLoad {
  // Room of the upstream; none while it takes no tasks.
  Resources capacity;
  // What runs on it, what is being stopped included.
  Resources running;
  // What waits at the agent for room.
  Resources waiting;
  // Starts that the receiving entry has sent on this connection and that are
  // counted above, or have ended.
  std::uint64_t starts_seen = 0;
  // Whether the upstream takes new tasks.
  bool accepting = false;
  // It takes none since it, or the agent, is about to end.
  bool leaving = false;

  // Whether some task could start at once. Such a report ends what the agent
  // remembers of the receiver's demand.
  [[nodiscard]] bool ShowsRoom() const {
    return this->accepting &&
           this->running.millicores + this->waiting.millicores <
               this->capacity.millicores;
  }
  bool operator==(const AgentLoad&) const = default;
};
BOOST_DESCRIBE_STRUCT(AgentLoad, (),
                      (capacity, running, waiting, starts_seen, accepting,
                       leaving))

struct AgentBucketPromise {
  BucketId bucket;
  Ballot ballot;
  bool granted = false;
};
BOOST_DESCRIBE_STRUCT(AgentBucketPromise, (), (bucket, ballot, granted))

// The started tasks of one job.
struct StartedJob {
  JobKey key;
  std::vector<TaskIndex> tasks;
};
BOOST_DESCRIBE_STRUCT(StartedJob, (), (key, tasks))

struct AgentPromiseReply {
  static constexpr const char* kName = "agent_promise_reply";
  std::vector<AgentBucketPromise> buckets;
  // Every task of the granted buckets in the agent's started set; how a task
  // ended is asked for with Renounce, where it is needed.
  std::vector<StartedJob> started;
};
BOOST_DESCRIBE_STRUCT(AgentPromiseReply, (), (buckets, started))

struct TaskFinished {
  static constexpr const char* kName = "task_finished";
  TaskReport report;
  // Time that the upstream took.
  Duration elapsed{};
  AgentLoad load;
};
BOOST_DESCRIBE_STRUCT(TaskFinished, (), (report, elapsed, load))

// The start took no effect and never will.
struct TaskNotRun {
  static constexpr const char* kName = "task_not_run";
  TaskId task;
  Reason reason = Reason::kNoFreeSlot;
  // The highest ballot promised for the bucket.
  Ballot promised;
  AgentLoad load;
  StartNumber start;
};
BOOST_DESCRIBE_STRUCT(TaskNotRun, (), (task, reason, promised, load, start))

// Answers a renounce: a task that was never started is now never going to be.
struct RenounceReply {
  static constexpr const char* kName = "renounce_reply";
  TaskReport report;
};
BOOST_DESCRIBE_STRUCT(RenounceReply, (), (report))

// The agent takes no more starts; running tasks still finish.
struct AgentLeaving {
  static constexpr const char* kName = "agent_leaving";
};
BOOST_DESCRIBE_STRUCT(AgentLeaving, (), ())

// Sent at intervals, and earlier to an entry with queued tasks once there is
// room.
struct AgentHeartbeat {
  static constexpr const char* kName = "agent_heartbeat";
  AgentLoad load;
  // The agent's clock; returned by the entry.
  Timestamp sent_at;
};
BOOST_DESCRIBE_STRUCT(AgentHeartbeat, (), (load, sent_at))

using AgentMessage = std::variant<Register, AgentReady, AgentPromiseReply,
                                  TaskFinished, TaskNotRun, RenounceReply,
                                  AgentLeaving, AgentHeartbeat, ConfirmReply>;

struct RegisterAcknowledged {
  static constexpr const char* kName = "register_acknowledged";
  // The view of the entry; the agent registers again where it is newer.
  View view;
  // Every ballot that the entry promised.
  std::vector<BucketBallot> promises;
};
BOOST_DESCRIBE_STRUCT(RegisterAcknowledged, (), (view, promises))

struct Start {
  static constexpr const char* kName = "start";
  TaskId task;
  Ballot ballot;
  // Grows with each start of the task under this ballot, so that a delayed
  // duplicate of a start that was answered "not run" stays without effect.
  std::uint32_t attempt = 0;
  // The incarnation that is meant; another one refuses.
  AgentId agent;
  Duration time_left{};
  PlacementReason placement = PlacementReason::kOnlyCandidate;
  // Tasks that the entry still queues for this service.
  std::uint32_t queued = 0;
  // The job's key as its caller wrote it; names the task at the upstream.
  std::string job_name;
  RerunPolicy rerun = RerunPolicy::kNever;
  // The agent's newest heartbeat that the sender knows, by the agent's clock.
  // A task that may run again is not started long after it: the sender may
  // have taken what it started for over since.
  Timestamp contact;
  TaskRequest request;

  [[nodiscard]] StartNumber Number() const {
    return {this->ballot, this->attempt};
  }
};
BOOST_DESCRIBE_STRUCT(Start, (),
                      (task, ballot, attempt, agent, time_left, placement,
                       queued, job_name, rerun, contact, request))

// Asks what became of a task. If it was not started, no start of it up to this
// ballot and attempt takes effect from now on.
struct Renounce {
  static constexpr const char* kName = "renounce";
  TaskId task;
  Ballot ballot;
  std::uint32_t attempt = 0;
};
BOOST_DESCRIBE_STRUCT(Renounce, (), (task, ballot, attempt))

struct StopTask {
  static constexpr const char* kName = "stop_task";
  TaskId task;
};
BOOST_DESCRIBE_STRUCT(StopTask, (), (task))

// The entry has queued tasks and knows of no room: the agent tells it of room
// at once. Holds until the agent has told of room, or a start says otherwise.
struct DemandNotice {
  static constexpr const char* kName = "demand_notice";
  std::uint32_t queued = 0;
};
BOOST_DESCRIBE_STRUCT(DemandNotice, (), (queued))

// Answers heartbeats: the agent may renew leases for a while after `heard`.
struct EntryHeartbeat {
  static constexpr const char* kName = "entry_heartbeat";
  // When, by the agent's clock, it sent the last heartbeat that has arrived.
  Timestamp heard;
};
BOOST_DESCRIBE_STRUCT(EntryHeartbeat, (), (heard))

using EntryToAgentMessage =
    std::variant<RegisterAcknowledged, PromiseRequest, Start, Renounce,
                 StopTask, DemandNotice, ConfirmRequest, EntryHeartbeat>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_MESSAGES_H_
