#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_MESSAGES_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_MESSAGES_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/base/resources.h"
#include "libraries/protocol/entry_messages.h"
#include "libraries/protocol/evacuation.h"
#include "libraries/protocol/job.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// An agent stops renewing its upstream's lease once the newest of its
// heartbeats that an entry has acknowledged is older than this: three heartbeat
// intervals.
inline constexpr Duration kContactLimit = std::chrono::milliseconds(450);

// The longest time, by the caller's clock, for which tasks under a lease of
// this duration can run after the lease was granted. Allows for an upstream
// clock that is 2% slow and for the time that the upstream takes to stop tasks
// whose lease has expired.
[[nodiscard]] constexpr Duration MaximumLeaseRunTime(Duration lease) {
  constexpr std::int64_t kSlowClockPercent = 102;
  constexpr Duration kLapseSlack = std::chrono::milliseconds(150);
  return lease * kSlowClockPercent / 100 + kLapseSlack;
}

// An upstream may carry out an order that it has not answered late: so long
// after the order was sent.
inline constexpr Duration kEarliestLateOrder = std::chrono::seconds(2);
inline constexpr Duration kLatestLateOrder = std::chrono::seconds(12);

// Whether a start is confirmed: the agent knows that the upstream has carried
// out the order. One that isn't may be carried out late.
BOOST_DEFINE_ENUM_CLASS(StartConfirmation, kConfirmed, kUnconfirmed)

// The longest time, by the caller's clock, for which a task can run, or can
// begin to run, after the last order of its agent to the upstream. `lease`: the
// longest that the upstream grants. A late order may begin a task whose start
// isn't confirmed, and extends the lease of what runs by then: of a task with a
// confirmed start only if its lease lasts until the earliest such order.
[[nodiscard]] constexpr Duration MaximumRunTime(
    Duration lease, StartConfirmation confirmation) {
  const Duration run_time = MaximumLeaseRunTime(lease);
  const bool ends_first = confirmation == StartConfirmation::kConfirmed &&
                          run_time < kEarliestLateOrder;
  return ends_first ? run_time : kLatestLateOrder + run_time;
}

struct TaskId {
  JobKey key;
  TaskIndex task;
  auto operator<=>(const TaskId&) const = default;
};
BOOST_DESCRIBE_STRUCT(TaskId, (), (key, task))

// The description of an upstream as it announced itself, with the identity and
// address of its agent.
struct AgentDescription {
  static constexpr std::size_t kRequiredMembers = 6;
  AgentId agent;
  ServiceName service;
  std::string upstream;
  std::string rack;
  Resources capacity;
  // Probed to distinguish a dead agent from an unresponsive one.
  Endpoint admin_endpoint;
  // Empty from versions that don't report it.
  DataCentreName data_centre;
  bool operator==(const AgentDescription&) const = default;
};
BOOST_DESCRIBE_STRUCT(AgentDescription, (),
                      (agent, service, upstream, rack, capacity, admin_endpoint,
                       data_centre))

// Sent to every entry of the view that has not acknowledged the agent on this
// connection. The agent accepts no starts until all members of its view have
// acknowledged it.
struct Register {
  static constexpr const char* kName = "register";
  static constexpr std::size_t kRequiredMembers = 2;
  AgentDescription description;
  // Epoch of the agent's view.
  Epoch epoch;
  // Whether the agent has the ballots that the entry had promised when it first
  // acknowledged the agent. Promises made later are requested from it.
  bool has_promises = false;
  // The evacuated data centres that the agent was told of. An entry that has
  // restarted while the table can't be read learns them from here.
  std::optional<EvacuationSet> evacuations{};
};
BOOST_DESCRIBE_STRUCT(Register, (),
                      (description, epoch, has_promises, evacuations))

// Announces that every entry of the view `epoch` has acknowledged the agent.
struct AgentReady {
  static constexpr const char* kName = "agent_ready";
  Epoch epoch;
};
BOOST_DESCRIBE_STRUCT(AgentReady, (), (epoch))

// Identifies one start of a task. The home, the entry that owns the bucket of
// the job's key, counts the starts of each task under its ballot.
struct StartNumber {
  Ballot ballot;
  std::uint32_t attempt = 0;
  auto operator<=>(const StartNumber&) const = default;
};
BOOST_DESCRIBE_STRUCT(StartNumber, (), (ballot, attempt))

// What a task was when the upstream that ran it was lost. kBystander: other
// tasks there had been running on more lost upstreams before.
BOOST_DEFINE_ENUM_CLASS(LossRole, kSuspect, kBystander)

// The loss of an upstream while it ran a task. The agent and the start identify
// it.
struct UpstreamLoss {
  AgentId agent;
  StartNumber start;
  LossRole role = LossRole::kSuspect;

  [[nodiscard]] bool IsSameLoss(const UpstreamLoss& other) const {
    return this->agent == other.agent && this->start == other.start;
  }
  bool operator==(const UpstreamLoss&) const = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamLoss, (), (agent, start, role))

// The upstreams that were lost while they ran the task.
struct TaskLosses {
  TaskId task;
  std::vector<UpstreamLoss> losses;
};
BOOST_DESCRIBE_STRUCT(TaskLosses, (), (task, losses))

BOOST_DEFINE_ENUM_CLASS(StartedState, kNeverStarted, kRunning, kFinished)

// The state of one task at an agent.
struct TaskReport {
  static constexpr std::size_t kRequiredMembers = 6;
  TaskId task;
  StartedState state = StartedState::kNeverStarted;
  TaskOutcome outcome = TaskOutcome::kUnknown;
  // Also empty if the agent has evicted the result from its cache.
  Payload result;
  // Whether `result` holds the result of the completed task.
  bool result_kept = false;
  // The latest start of the task that the report covers.
  StartNumber start;
  // All losses of upstreams under the task that the agent knows.
  std::vector<UpstreamLoss> losses;
};
BOOST_DESCRIBE_STRUCT(TaskReport, (),
                      (task, state, outcome, result, result_kept, start,
                       losses))

// How the upstream has completed its recent tasks, of all entries.
struct PerformanceReport {
  // Geometric mean of measured over declared run time; 0 if not known yet.
  std::uint32_t slowness_percent = 0;
  // The share of the tasks that failed.
  std::uint32_t failed_percent = 0;

  bool operator==(const PerformanceReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(PerformanceReport, (), (slowness_percent, failed_percent))

// The load of an agent's upstream, as reported to one entry.
struct AgentLoad {
  static constexpr std::size_t kRequiredMembers = 6;
  // Total capacity of the upstream; zero while it accepts no tasks.
  Resources capacity;
  // Resources of the running tasks, including those being stopped.
  Resources running;
  // Resources of the tasks that the agent queues until capacity is free.
  Resources waiting;
  // The number of starts that the agent has received from this entry on the
  // current connection. Their tasks are counted above, or have completed or
  // been refused.
  std::uint64_t starts_seen = 0;
  // Whether the agent accepts new tasks for the upstream.
  bool accepting = false;
  // Whether the upstream or its agent is shutting down.
  bool leaving = false;
  PerformanceReport performance;
  // Of the starts that were seen, all but the latest so many are confirmed or
  // have completed or been refused. Absent from versions that don't report it.
  std::optional<std::uint32_t> starts_unconfirmed{};

  // Whether the upstream has free capacity for a new task. Sending a report
  // for which this holds clears the receiver's DemandNotice at the agent.
  [[nodiscard]] bool HasFreeCapacity() const {
    return this->accepting &&
           this->running.millicores + this->waiting.millicores <
               this->capacity.millicores;
  }
  bool operator==(const AgentLoad&) const = default;
};
BOOST_DESCRIBE_STRUCT(AgentLoad, (),
                      (capacity, running, waiting, starts_seen, accepting,
                       leaving, performance, starts_unconfirmed))

struct AgentBucketPromise {
  BucketId bucket;
  Ballot ballot;
  bool granted = false;
};
BOOST_DESCRIBE_STRUCT(AgentBucketPromise, (), (bucket, ballot, granted))

// The tasks of one job that an agent has started.
struct StartedJob {
  static constexpr std::size_t kRequiredMembers = 2;
  JobKey key;
  std::vector<TaskIndex> tasks;
  // The job was cancelled; it may have no tasks here.
  bool cancelled = false;
};
BOOST_DESCRIBE_STRUCT(StartedJob, (), (key, tasks, cancelled))

struct AgentPromiseReply {
  static constexpr const char* kName = "agent_promise_reply";
  static constexpr std::size_t kRequiredMembers = 2;
  std::vector<AgentBucketPromise> buckets;
  // The tasks of the granted buckets that the agent has started: all of them,
  // but for the limits that `part` states. Carries no outcomes: the home
  // queries them with Renounce where it needs them.
  std::vector<StartedJob> started;
  // The losses of upstreams under tasks of the granted buckets that the agent
  // knows. Those of a bucket come with the end of its list.
  std::vector<TaskLosses> losses;
  PromisePart part;
};
BOOST_DESCRIBE_STRUCT(AgentPromiseReply, (), (buckets, started, losses, part))

// The most groups that an agent names as neighbours of one task, and in one
// heartbeat. They bound what the reports add to the messages: nine bytes for
// each group.
inline constexpr std::size_t kMaximumNeighbours = 4;
inline constexpr std::size_t kMaximumReportedGroups = 8;

struct TaskFinished {
  static constexpr const char* kName = "task_finished";
  static constexpr std::size_t kRequiredMembers = 3;
  TaskReport report;
  // Run time of the task on the upstream.
  Duration elapsed{};
  AgentLoad load;
  // The other groups whose tasks ran at the upstream for at least half of that
  // time, longest first. Empty unless the start asked for it.
  std::vector<JobGroupId> neighbours{};
};
BOOST_DESCRIBE_STRUCT(TaskFinished, (), (report, elapsed, load, neighbours))

// Reports that a start had no effect and never will have one.
struct TaskNotRun {
  static constexpr const char* kName = "task_not_run";
  static constexpr std::size_t kRequiredMembers = 5;
  TaskId task;
  Reason reason = Reason::kNoFreeSlot;
  // The highest ballot promised for the bucket.
  Ballot promised;
  AgentLoad load;
  StartNumber start;
  // The agent has recorded that the job was cancelled.
  bool job_cancelled = false;
};
BOOST_DESCRIBE_STRUCT(TaskNotRun, (),
                      (task, reason, promised, load, start, job_cancelled))

// Answers Renounce with the task's state. `kNeverStarted` means that the
// renounced starts can no longer take effect.
struct RenounceReply {
  static constexpr const char* kName = "renounce_reply";
  static constexpr std::size_t kRequiredMembers = 1;
  TaskReport report;
  // The agent has recorded that the job was cancelled.
  bool cancelled = false;
};
BOOST_DESCRIBE_STRUCT(RenounceReply, (), (report, cancelled))

// Announces that the agent accepts no more starts; running tasks continue.
struct AgentLeaving {
  static constexpr const char* kName = "agent_leaving";
};
BOOST_DESCRIBE_STRUCT(AgentLeaving, (), ())

// The loss of an agent's upstream, as the agent tells all entries.
struct RecentLoss {
  // Counts the losses that this agent has seen, from 1.
  std::uint32_t number = 0;
  // Time since the loss when the message was sent.
  Duration age{};
  // The groups of the tasks that may have caused it; empty if no task is more
  // likely than the others.
  std::vector<JobGroupId> suspects;
};
BOOST_DESCRIBE_STRUCT(RecentLoss, (), (number, age, suspects))

// Sent at regular intervals, and at once to an entry with queued tasks when
// capacity becomes free.
struct AgentHeartbeat {
  static constexpr const char* kName = "agent_heartbeat";
  static constexpr std::size_t kRequiredMembers = 2;
  AgentLoad load;
  // By the agent's clock; the entry returns it in EntryHeartbeat.
  Timestamp sent_at;
  // Epoch of the agent's view; 0 from versions that do not report it.
  Epoch epoch{};
  // The latest losses of the agent's upstream, oldest first.
  std::vector<RecentLoss> recent_losses{};
  // Version of the evacuated data centres that the agent knows; 0 if none.
  EvacuationVersion evacuations{};
  // The groups whose tasks run at the upstream. Empty unless a start of the
  // last seconds asked for it.
  std::vector<JobGroupId> running_groups{};
  // The agent's address, if it has no upstream and no task runs any more that
  // an earlier agent at this address has started.
  std::optional<Endpoint> vacant_address{};
};
BOOST_DESCRIBE_STRUCT(AgentHeartbeat, (),
                      (load, sent_at, epoch, recent_losses, evacuations,
                       running_groups, vacant_address))

using AgentMessage = std::variant<Register, AgentReady, AgentPromiseReply,
                                  TaskFinished, TaskNotRun, RenounceReply,
                                  AgentLeaving, AgentHeartbeat, ConfirmReply>;

// Acknowledges a registration. Also sent without one, to an agent that this
// entry has acknowledged, when a newer view is in force.
struct RegisterAcknowledged {
  static constexpr const char* kName = "register_acknowledged";
  static constexpr std::size_t kRequiredMembers = 2;
  // The entry's current view; only its epoch if the agent has that view.
  View view;
  // The highest ballot that the entry has promised for each bucket.
  std::vector<BucketBallot> promises;
  // Whether `promises` is complete. It is left empty for an agent that has
  // received the promises before.
  bool has_promises = true;
  // Set if the entry knows newer evacuations than the agent.
  std::optional<EvacuationSet> evacuations{};
};
BOOST_DESCRIBE_STRUCT(RegisterAcknowledged, (),
                      (view, promises, has_promises, evacuations))

struct Start {
  static constexpr const char* kName = "start";
  static constexpr std::size_t kRequiredMembers = 11;
  TaskId task;
  Ballot ballot;
  // Increases with each start of the task under this ballot, so that a delayed
  // duplicate of a start that was answered with TaskNotRun has no effect.
  std::uint32_t attempt = 0;
  // The intended incarnation of the agent; any other one refuses the start.
  AgentId agent;
  Duration time_left{};
  PlacementReason placement = PlacementReason::kOnlyCandidate;
  // Number of tasks that the entry still queues for this service.
  std::uint32_t queued = 0;
  // The job's key as the caller wrote it; identifies the task to the upstream.
  std::string job_name;
  RerunPolicy rerun = RerunPolicy::kNever;
  // The send time, by the agent's clock, of the agent's newest heartbeat that
  // the sender has received. The agent refuses a task that may be rerun if this
  // is older than its contact limit: the sender may by then have assumed that
  // the agent's leases, and with them its earlier runs, have expired.
  Timestamp contact;
  TaskRequest request;
  // If set, `request` has no body: it is the body with this digest, which the
  // sender's preceding start on this connection had. An agent that does not
  // have it refuses the start.
  std::optional<std::uint64_t> repeated_body;
  // The losses of upstreams under the task that the home knows. The agent
  // reports them to later homes as well.
  std::vector<UpstreamLoss> losses;
  // The group of the task's job.
  JobGroupId group;
  PlacementScope scope = PlacementScope::kOrdinary;
  // How much later the task can start and still end within its objective; not
  // set if that is no longer possible, or by versions that don't tell.
  std::optional<Duration> slack;
  // Whether the home wants to know which groups run beside the task.
  bool report_neighbours = false;
  // Set where earlier versions don't know the reason: they close the connection
  // at such a value, so `placement` is one that they know.
  std::optional<PlacementReason> later_placement;

  [[nodiscard]] StartNumber Number() const {
    return {this->ballot, this->attempt};
  }
  [[nodiscard]] PlacementReason PlacedFor() const {
    return this->later_placement.value_or(this->placement);
  }
  void SetPlacement(PlacementReason reason) {
    const bool is_known_to_all = reason <= PlacementReason::kProbation;
    this->placement = is_known_to_all ? reason : PlacementReason::kFastestFree;
    if (!is_known_to_all) this->later_placement = reason;
  }
};
BOOST_DESCRIBE_STRUCT(Start, (),
                      (task, ballot, attempt, agent, time_left, placement,
                       queued, job_name, rerun, contact, request, repeated_body,
                       losses, group, scope, slack, report_neighbours,
                       later_placement))

// Asks for the task's state and rules out a later start: if the task has not
// been started, no start of it up to this ballot and attempt will take effect.
struct Renounce {
  static constexpr const char* kName = "renounce";
  static constexpr std::size_t kRequiredMembers = 3;
  TaskId task;
  Ballot ballot;
  std::uint32_t attempt = 0;
  // The job was cancelled. The agent starts no task of it any more, and lists
  // the job in its promises.
  bool cancelled = false;
};
BOOST_DESCRIBE_STRUCT(Renounce, (), (task, ballot, attempt, cancelled))

// Stops a task. Refused from a home whose ballot is below the promised one.
struct StopTask {
  static constexpr const char* kName = "stop_task";
  static constexpr std::size_t kRequiredMembers = 1;
  TaskId task;
  // None from earlier versions, which are obeyed.
  Ballot ballot{};
};
BOOST_DESCRIBE_STRUCT(StopTask, (), (task, ballot))

// Announces that the entry has queued tasks but no free capacity for them. The
// agent sends a heartbeat as soon as capacity is free. Holds until the agent
// has reported free capacity, or until a later Start replaces `queued`.
struct DemandNotice {
  static constexpr const char* kName = "demand_notice";
  std::uint32_t queued = 0;
};
BOOST_DESCRIBE_STRUCT(DemandNotice, (), (queued))

// Answers AgentHeartbeat. The agent may renew its upstream's lease until
// kContactLimit after `heard`.
struct EntryHeartbeat {
  static constexpr const char* kName = "entry_heartbeat";
  static constexpr std::size_t kRequiredMembers = 1;
  // The send time, by the agent's clock, of the newest heartbeat that the entry
  // has received from it; 0 if the entry confirms none.
  Timestamp heard;
  // Set if the entry knows newer evacuated data centres than the agent.
  std::optional<EvacuationSet> evacuations{};
};
BOOST_DESCRIBE_STRUCT(EntryHeartbeat, (), (heard, evacuations))

using EntryToAgentMessage =
    std::variant<RegisterAcknowledged, PromiseRequest, Start, Renounce,
                 StopTask, DemandNotice, ConfirmRequest, EntryHeartbeat>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_MESSAGES_H_
