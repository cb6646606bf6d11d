#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_LOG_EVENTS_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_LOG_EVENTS_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

#include "libraries/agent_core/agent_events.h"
#include "libraries/entry_core/entry_events.h"
#include "libraries/protocol/hello.h"

// The log events, one struct each. `kName` and the members are written to the
// log under these names and in this order. `job` is the id that the caller gave
// the job, and `key` its digest, which stands for the job in messages without
// the id. Durations are in milliseconds. Ages are relative to the line's time.
namespace dandelionspur {

// --- State of a process and its connections ---

struct ProcessStarted {
  static constexpr const char* kName = "started";
  // Entry or agent id: one incarnation of the process.
  std::uint64_t incarnation = 0;
  std::string version;
};
BOOST_DESCRIBE_STRUCT(ProcessStarted, (), (incarnation, version))

// The last line of a process that ended itself because of an error after which
// its state can't be trusted.
struct ProcessBroken {
  static constexpr const char* kName = "broken";
  std::string reason;
};
BOOST_DESCRIBE_STRUCT(ProcessBroken, (), (reason))

// The handler of a single request, frame, row or answer has thrown, and that
// one was given up.
struct HandlerFailed {
  static constexpr const char* kName = "handler_failed";
  std::string kind;
  std::string reason;
};
BOOST_DESCRIBE_STRUCT(HandlerFailed, (), (kind, reason))

// A graceful shutdown has begun.
struct ProcessDraining {
  static constexpr const char* kName = "draining";
};
BOOST_DESCRIBE_STRUCT(ProcessDraining, (), ())

// The entry accepts no more connections of callers. Counts the open connections
// and the unanswered requests on them.
struct CallersClosed {
  static constexpr const char* kName = "callers_closed";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
};
BOOST_DESCRIBE_STRUCT(CallersClosed, (), (connections, unanswered))

// All requests of callers have been answered and their connections closed.
struct CallersAnswered {
  static constexpr const char* kName = "callers_answered";
};
BOOST_DESCRIBE_STRUCT(CallersAnswered, (), ())

// The time limit for answers in a graceful shutdown has passed: the remaining
// callers receive the answer that their jobs may have run.
struct AnswersDue {
  static constexpr const char* kName = "answers_due";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
  // The number of unanswered requests that the core is still processing.
  std::size_t undecided = 0;
};
BOOST_DESCRIBE_STRUCT(AnswersDue, (), (connections, unanswered, undecided))

// The process exits because the time limit of its graceful shutdown has passed.
// Counts the work that is left.
struct DrainOverdue {
  static constexpr const char* kName = "drain_overdue";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
  std::size_t jobs_at_home = 0;
  std::size_t jobs_relayed = 0;
  bool in_view = false;
};
BOOST_DESCRIBE_STRUCT(DrainOverdue, (),
                      (connections, unanswered, jobs_at_home, jobs_relayed,
                       in_view))

struct ProcessDrained {
  static constexpr const char* kName = "drained";
};
BOOST_DESCRIBE_STRUCT(ProcessDrained, (), ())

// The settings file has changed. Lists the names of the changed settings that
// are in force now and of those that take effect at the next start.
struct SettingsReloaded {
  static constexpr const char* kName = "settings_reloaded";
  std::string in_force;
  std::string at_next_start;
};
BOOST_DESCRIBE_STRUCT(SettingsReloaded, (), (in_force, at_next_start))

// The settings file can't be read or is invalid; the settings stay in force.
struct SettingsRejected {
  static constexpr const char* kName = "settings_rejected";
  std::string problem;
};
BOOST_DESCRIBE_STRUCT(SettingsRejected, (), (problem))

struct TableReachable {
  static constexpr const char* kName = "table_reachable";
};
BOOST_DESCRIBE_STRUCT(TableReachable, (), ())

struct TableUnreachable {
  static constexpr const char* kName = "table_unreachable";
};
BOOST_DESCRIBE_STRUCT(TableUnreachable, (), ())

// The operators' configuration can't be parsed; the last one stays in force.
struct ConfigurationUnreadable {
  static constexpr const char* kName = "configuration_unreadable";
  std::string problem;
};
BOOST_DESCRIBE_STRUCT(ConfigurationUnreadable, (), (problem))

// The tasks of a group of jobs run only at a few upstreams, since they crash
// upstreams, or run at all upstreams again.
struct GroupQuarantined {
  static constexpr const char* kName = "group_quarantine";
  QuarantinePhase phase = QuarantinePhase::kBegun;
  std::string service;
  std::uint64_t group = 0;
  // The losses that the group explained when it was quarantined, and the number
  // of distinct moments at which they occurred.
  std::uint64_t losses = 0;
  std::uint64_t moments = 0;
  // The number of upstreams that are set aside for the group.
  std::uint64_t upstreams = 0;
};
BOOST_DESCRIBE_STRUCT(GroupQuarantined, (),
                      (phase, service, group, losses, moments, upstreams))

// The tasks of two groups are kept apart where there is room, or no longer,
// since those of `victim` (0: of all groups) are slow beside `neighbour`.
struct GroupsKeptApart {
  static constexpr const char* kName = "interference";
  SuspicionPhase phase = SuspicionPhase::kBegun;
  std::string service;
  std::uint64_t victim = 0;
  std::uint64_t neighbour = 0;
  // The victim's time beside the neighbour, in percent of its usual time.
  std::uint64_t slowdown_percent = 0;
};
BOOST_DESCRIBE_STRUCT(GroupsKeptApart, (),
                      (phase, service, victim, neighbour, slowdown_percent))

struct ViewAdopted {
  static constexpr const char* kName = "view_in_force";
  std::uint64_t epoch = 0;
  std::uint64_t members = 0;
};
BOOST_DESCRIBE_STRUCT(ViewAdopted, (), (epoch, members))

struct DocumentAdopted {
  static constexpr const char* kName = "document_in_force";
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t bytes = 0;
  std::uint64_t routes = 0;
  // Since the table showed it; 0 if another entry sent it before.
  Duration age_ms{};
};
BOOST_DESCRIBE_STRUCT(DocumentAdopted, (),
                      (service, version, bytes, routes, age_ms))

// The entry's ownership phase has changed for this number of buckets. `held`:
// the buckets that it now holds or acquires; `by_rank`: those for which it
// ranks first; `behind_ms`: the delay with which it handles messages.
struct HomeOfBuckets {
  static constexpr const char* kName = "ownership_changed";
  OwnershipPhase phase = OwnershipPhase::kNone;
  std::uint64_t buckets = 0;
  std::string reason;
  std::uint64_t held = 0;
  std::uint64_t by_rank = 0;
  Duration behind_ms{};
};
BOOST_DESCRIBE_STRUCT(HomeOfBuckets, (),
                      (phase, buckets, reason, held, by_rank, behind_ms))

// The entry processes its messages late, since it gets too little processor
// time.
struct EntryFellBehind {
  static constexpr const char* kName = "fell_behind";
  Duration delay_ms{};
};
BOOST_DESCRIBE_STRUCT(EntryFellBehind, (), (delay_ms))

struct EntryCaughtUp {
  static constexpr const char* kName = "caught_up";
  Duration longest_delay_ms{};
};
BOOST_DESCRIBE_STRUCT(EntryCaughtUp, (), (longest_delay_ms))

// Messages to entries and agents have used most of the instance's link in the
// last second.
struct LinkFull {
  static constexpr const char* kName = "link_full";
  std::uint64_t bytes = 0;
  std::uint64_t link_bytes_per_second = 0;
  // The kind of message with the most bytes.
  std::string largest_kind;
  std::uint64_t largest_bytes = 0;
  // Bytes that the sockets have not taken yet.
  std::uint64_t unsent_bytes = 0;
};
BOOST_DESCRIBE_STRUCT(LinkFull, (),
                      (bytes, link_bytes_per_second, largest_kind,
                       largest_bytes, unsent_bytes))

// A link was closed because the other process was silent on it.
struct LinkSilent {
  static constexpr const char* kName = "link_silent";
  ProcessRole peer_role = ProcessRole::kEntry;
  // Entry or agent id of the other process.
  std::uint64_t peer = 0;
  // Since the last byte from the other process.
  Duration unheard_ms{};
  // Passed to the connection since then: what was sent may be lost.
  std::uint64_t unanswered_bytes = 0;
};
BOOST_DESCRIBE_STRUCT(LinkSilent, (),
                      (peer_role, peer, unheard_ms, unanswered_bytes))

// The messages that wait for the connection to an entry are too many for
// further relays: new jobs that it is the home of are refused.
struct PeerQueueFull {
  static constexpr const char* kName = "peer_queue_full";
  EntryId peer;
  std::uint64_t unsent_bytes = 0;
};
BOOST_DESCRIBE_STRUCT(PeerQueueFull, (), (peer, unsent_bytes))

// The connection to the entry has room for relays again.
struct PeerQueueDrained {
  static constexpr const char* kName = "peer_queue_drained";
  EntryId peer;
  std::uint64_t unsent_bytes = 0;
};
BOOST_DESCRIBE_STRUCT(PeerQueueDrained, (), (peer, unsent_bytes))

// The time limit of a graceful shutdown has passed and the process exits, with
// its connections in whatever state they are.
struct StopTimeReached {
  static constexpr const char* kName = "stop_time_reached";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
};
BOOST_DESCRIBE_STRUCT(StopTimeReached, (), (connections, unanswered))

// The other entries have removed this entry from the view. Counts the open
// connections of callers and the unanswered requests on them.
struct RemovedFromViewLine {
  static constexpr const char* kName = "removed_from_view";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
};
BOOST_DESCRIBE_STRUCT(RemovedFromViewLine, (), (connections, unanswered))

// A connection of a caller has ended while a request on it was unanswered or
// bytes were unread.
struct CallerConnectionCut {
  static constexpr const char* kName = "caller_connection_cut";
  std::string reason;
  bool unanswered = false;
  bool unread = false;
  // Since the last request on it was read; 0 if there was none.
  Duration since_request{};
};
BOOST_DESCRIBE_STRUCT(CallerConnectionCut, (),
                      (reason, unanswered, unread, since_request))

// The entry places no tasks in the data centre any more, or again. Counts the
// agents there that it knows.
struct EvacuationLine {
  static constexpr const char* kName = "evacuation";
  EvacuationPhase phase = EvacuationPhase::kBegun;
  std::string data_centre;
  std::uint64_t version = 0;
  std::size_t agents = 0;
};
BOOST_DESCRIBE_STRUCT(EvacuationLine, (), (phase, data_centre, version, agents))

// The agent starts no tasks any more, or again, since its data centre is
// evacuated. Counts the tasks that run on.
struct OwnEvacuationLine {
  static constexpr const char* kName = "own_evacuation";
  EvacuationPhase phase = EvacuationPhase::kBegun;
  std::uint64_t version = 0;
  std::uint64_t tasks_running = 0;
};
BOOST_DESCRIBE_STRUCT(OwnEvacuationLine, (), (phase, version, tasks_running))

// The table is to mark an agent's address as vacant, so that entries that join
// don't wait for it: its upstream is gone and no task is left (logged by the
// agent), or the agent is, and no order of its can have an effect any more
// (logged by an entry).
struct AddressReleased {
  static constexpr const char* kName = "address_released";
  std::string address;
};
BOOST_DESCRIBE_STRUCT(AddressReleased, (), (address))

// Callers reached a limit of client_limits; their connections were closed or
// their requests refused. At most one line a second for each limit and
// endpoint.
struct ClientLimitReached {
  static constexpr const char* kName = "client_limit_reached";
  std::string endpoint;
  std::string limit;
  // How often since the last such line.
  std::uint64_t times = 0;
};
BOOST_DESCRIBE_STRUCT(ClientLimitReached, (), (endpoint, limit, times))

// The program restarts in the same process, without its earlier state.
struct ProcessRestarting {
  static constexpr const char* kName = "beginning_anew";
};
BOOST_DESCRIBE_STRUCT(ProcessRestarting, (), ())

// This entry's or agent's connection to another entry was established.
struct PeerReached {
  static constexpr const char* kName = "peer_connected";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerReached, (), (peer))

struct PeerOutOfReach {
  static constexpr const char* kName = "peer_disconnected";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerOutOfReach, (), (peer))

// Another entry has opened a new connection to this one.
struct PeerLinkRenewedLine {
  static constexpr const char* kName = "peer_link_renewed";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerLinkRenewedLine, (), (peer))

// The entry is proven dead: another incarnation answers at its address.
struct PeerDead {
  static constexpr const char* kName = "peer_proven_dead";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerDead, (), (peer))

// The other entry refuses connections, which does not prove its death.
struct PeerRefuses {
  static constexpr const char* kName = "peer_refuses_connections";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerRefuses, (), (peer))

struct AgentReached {
  static constexpr const char* kName = "agent_connected";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentReached, (), (agent))

struct AgentOutOfReach {
  static constexpr const char* kName = "agent_disconnected";
  AgentId agent;
  // Time since the agent's last message.
  Duration unheard_ms{};
};
BOOST_DESCRIBE_STRUCT(AgentOutOfReach, (), (agent, unheard_ms))

// The agent's instance refuses connections, which does not prove the agent's
// death.
struct AgentRefuses {
  static constexpr const char* kName = "agent_refuses_connections";
  AgentId agent;
  // Time since the agent's last message.
  Duration unheard_ms{};
  // Tasks of this entry that were started there.
  std::uint64_t tasks_started = 0;
};
BOOST_DESCRIBE_STRUCT(AgentRefuses, (), (agent, unheard_ms, tasks_started))

// The agent has announced that it accepts no more tasks.
struct AgentLeaves {
  static constexpr const char* kName = "agent_leaving";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentLeaves, (), (agent))

// The entry considers the agent lost and resolves its started tasks without it.
struct AgentGivenUp {
  static constexpr const char* kName = "agent_given_up";
  AgentId agent;
  std::string upstream;
  // Whether none of its runs can still be in progress, so that the tasks may be
  // rerun.
  bool runs_are_over = false;
  // Time since the agent's last message.
  Duration unheard_ms{};
  std::uint64_t tasks_started = 0;
  DeathEvidence evidence = DeathEvidence::kOtherIncarnation;
  // Those of the tasks whose starts aren't confirmed: unless `runs_are_over`,
  // they wait until no late order can start them.
  std::uint64_t tasks_unconfirmed = 0;
};
BOOST_DESCRIBE_STRUCT(AgentGivenUp, (),
                      (agent, upstream, runs_are_over, unheard_ms,
                       tasks_started, evidence, tasks_unconfirmed))

// The most tasks that one line names.
inline constexpr std::size_t kMaximumNamedTasks = 32;

struct UpstreamAnnouncedLine {
  static constexpr const char* kName = "upstream_announced";
  std::string upstream;
  std::string service;
  std::uint64_t millicores = 0;
};
BOOST_DESCRIBE_STRUCT(UpstreamAnnouncedLine, (),
                      (upstream, service, millicores))

struct UpstreamLeaves {
  static constexpr const char* kName = "upstream_leaving";
};
BOOST_DESCRIBE_STRUCT(UpstreamLeaves, (), ())

struct UpstreamContactLine {
  static constexpr const char* kName = "upstream_contact";
  UpstreamContact contact = UpstreamContact::kAnswering;
  std::uint64_t tasks_running = 0;
};
BOOST_DESCRIBE_STRUCT(UpstreamContactLine, (), (contact, tasks_running))

// Calls to the upstream are refused. Names at most kMaximumNamedTasks of the
// tasks that may have caused it, as "job.task", separated by commas.
struct UpstreamContactBrokenLine {
  static constexpr const char* kName = "upstream_contact_broken";
  std::string upstream;
  // Time since the first call failed.
  Duration age_ms{};
  std::uint64_t tasks_running = 0;
  std::string suspects;
};
BOOST_DESCRIBE_STRUCT(UpstreamContactBrokenLine, (),
                      (upstream, age_ms, tasks_running, suspects))

// The upstream was lost with the tasks that ran there. Names at most
// kMaximumNamedTasks of them as "job.task", separated by commas.
struct UpstreamLostLine {
  static constexpr const char* kName = "upstream_lost";
  std::string upstream;
  LossEvidence evidence = LossEvidence::kNewIncarnation;
  std::uint64_t tasks_running = 0;
  std::string tasks;
};
BOOST_DESCRIBE_STRUCT(UpstreamLostLine, (),
                      (upstream, evidence, tasks_running, tasks))

// A request of the upstream to its agent can't be parsed.
struct UpstreamCallUnreadable {
  static constexpr const char* kName = "upstream_call_unreadable";
  std::string problem;
};
BOOST_DESCRIBE_STRUCT(UpstreamCallUnreadable, (), (problem))

// The agent takes the tasks that ran at a process of its upstream for ended.
struct UpstreamSessionEnded {
  static constexpr const char* kName = "upstream_session_ended";
  std::string upstream;
  // Identifies the process; milliseconds on its own clock.
  std::int64_t started_milliseconds = 0;
  std::string evidence;
  std::uint64_t tasks_running = 0;
};
BOOST_DESCRIBE_STRUCT(UpstreamSessionEnded, (),
                      (upstream, started_milliseconds, evidence, tasks_running))

// The agent has ignored a departure notice, since its session is with another
// process of the upstream or with none.
struct UpstreamDepartureIgnored {
  static constexpr const char* kName = "upstream_departure_ignored";
  std::string upstream;
  // Identifies the process; milliseconds on its own clock.
  std::int64_t started_milliseconds = 0;
};
BOOST_DESCRIBE_STRUCT(UpstreamDepartureIgnored, (),
                      (upstream, started_milliseconds))

// Whether the agent may renew the lease of the running tasks. Depends on the
// age of its newest heartbeat that an entry has acknowledged.
struct RenewalLine {
  static constexpr const char* kName = "lease_renewal";
  LeaseRenewal renewal = LeaseRenewal::kSuspended;
  std::uint64_t tasks_running = 0;
};
BOOST_DESCRIBE_STRUCT(RenewalLine, (), (renewal, tasks_running))

// --- One job at an entry ---

// A caller's request was refused before it was sent to any other process.
struct RequestRejected {
  static constexpr const char* kName = "request_rejected";
  std::string job;
  std::string service;
  Reason reason = Reason::kMalformedRequest;
  std::string detail;
};
BOOST_DESCRIBE_STRUCT(RequestRejected, (), (job, service, reason, detail))

// An entry that is shutting down answered a caller's request before the job was
// completed.
struct RequestCutShort {
  static constexpr const char* kName = "request_cut_short";
  std::string job;
  std::string service;
  Reason reason = Reason::kHomeUnreachable;
};
BOOST_DESCRIBE_STRUCT(RequestCutShort, (), (job, service, reason))

struct RequestReceived {
  static constexpr const char* kName = "request_received";
  std::string job;
  std::string key;
  std::string service;
  std::string client_account;
  std::uint64_t tasks = 0;
  Duration allowed_ms{};
  Duration objective_ms{};
};
BOOST_DESCRIBE_STRUCT(RequestReceived, (),
                      (job, key, service, client_account, tasks, allowed_ms,
                       objective_ms))

// The job was relayed to the entry that this entry considers its home.
struct RelaySent {
  static constexpr const char* kName = "relay_sent";
  std::string job;
  EntryId home;
  std::uint64_t attempt = 0;
  std::uint64_t epoch = 0;
};
BOOST_DESCRIBE_STRUCT(RelaySent, (), (job, home, attempt, epoch))

// A job was received from the entry to which its caller submitted it.
struct RelayReceived {
  static constexpr const char* kName = "relay_received";
  std::string job;
  std::string key;
  std::string service;
  EntryId from;
  std::uint64_t attempt = 0;
  std::uint64_t tasks = 0;
  Duration allowed_ms{};
};
BOOST_DESCRIBE_STRUCT(RelayReceived, (),
                      (job, key, service, from, attempt, tasks, allowed_ms))

// The entry `from` returned a relayed job: it is not, or no longer, the home.
struct RelayReturned {
  static constexpr const char* kName = "relay_moved";
  std::string job;
  EntryId from;
};
BOOST_DESCRIBE_STRUCT(RelayReturned, (), (job, from))

// The home has decided to refuse the job. The refusal is sent once it is proven
// that none of its tasks can run.
struct RefusalDecided {
  static constexpr const char* kName = "refusal_decided";
  std::string job;
  Reason reason = Reason::kComplete;
  std::uint64_t queued_tasks = 0;
  // Estimated time until all tasks queued now have been started.
  Duration expected_wait_ms{};
  // Total number of processor cores of the service's upstreams.
  std::uint64_t cores = 0;
};
BOOST_DESCRIBE_STRUCT(RefusalDecided, (),
                      (job, reason, queued_tasks, expected_wait_ms, cores))

struct TaskStartSent {
  static constexpr const char* kName = "task_start_sent";
  std::string job;
  std::uint64_t task = 0;
  std::uint64_t attempt = 0;
  AgentId agent;
  PlacementReason placement = PlacementReason::kOnlyCandidate;
  // The upstream's load and capacity as last reported to the entry, plus starts
  // not yet reported, and the age of the report.
  std::uint64_t millicores_in_use = 0;
  std::uint64_t millicores = 0;
  Duration report_age_ms{};
  // Number of tasks that remain queued for the service.
  std::uint64_t still_queued = 0;
  PlacementScope scope = PlacementScope::kOrdinary;
};
BOOST_DESCRIBE_STRUCT(TaskStartSent, (),
                      (job, task, attempt, agent, placement, millicores_in_use,
                       millicores, report_age_ms, still_queued, scope))

// The agent has reported that this start of the task will never take effect.
struct TaskStartRefused {
  static constexpr const char* kName = "task_not_run";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
  Reason reason = Reason::kNoFreeSlot;
};
BOOST_DESCRIBE_STRUCT(TaskStartRefused, (), (job, task, agent, reason))

struct TaskEnded {
  static constexpr const char* kName = "task_ended";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
  TaskOutcome outcome = TaskOutcome::kUnknown;
  // Run time as measured by the agent.
  Duration took_ms{};
};
BOOST_DESCRIBE_STRUCT(TaskEnded, (), (job, task, agent, outcome, took_ms))

// The task is queued to be started again.
struct TaskRetried {
  static constexpr const char* kName = "task_retried";
  std::string job;
  std::uint64_t task = 0;
  Reason reason = Reason::kNoFreeSlot;
  // Where the task was started before, and the time since any entry is known to
  // have had contact with that agent.
  AgentId agent;
  Duration since_contact_ms{};
  // Whether that agent is considered dead.
  bool agent_dead = false;
};
BOOST_DESCRIBE_STRUCT(TaskRetried, (),
                      (job, task, reason, agent, since_contact_ms, agent_dead))

// The entry has asked the agent for the state of a task with Renounce.
struct TaskStateRequested {
  static constexpr const char* kName = "task_asked_for";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(TaskStateRequested, (), (job, task, agent))

// The agent has reported the state of a task in answer to Renounce.
struct TaskStateReceived {
  static constexpr const char* kName = "task_told_of";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
  StartedState state = StartedState::kNeverStarted;
  TaskOutcome outcome = TaskOutcome::kUnknown;
};
BOOST_DESCRIBE_STRUCT(TaskStateReceived, (), (job, task, agent, state, outcome))

struct TaskStopSent {
  static constexpr const char* kName = "task_stop_sent";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(TaskStopSent, (), (job, task, agent))

struct CancelReceived {
  static constexpr const char* kName = "cancel_received";
  std::string job;
};
BOOST_DESCRIBE_STRUCT(CancelReceived, (), (job))

// The caller that cancelled the job was answered.
struct CancelSettled {
  static constexpr const char* kName = "cancel_settled";
  std::string job;
  CancelOutcome outcome = CancelOutcome::kNotConfirmed;
};
BOOST_DESCRIBE_STRUCT(CancelSettled, (), (job, outcome))

// The job was answered, to its caller (`to` is 0) or to the entry `to` that
// relayed it.
struct JobAnswered {
  static constexpr const char* kName = "job_answered";
  std::string job;
  std::string key;
  EntryId to;
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kHomeUnreachable;
  Duration retry_after_ms{};
  // Time since this process first received the job.
  Duration took_ms{};
  // Whether `took_ms` exceeds the job's latency objective.
  bool late = false;
  // Number of steps that were dropped because of the limit on steps.
  std::uint64_t steps_left_out = 0;
};
BOOST_DESCRIBE_STRUCT(JobAnswered, (),
                      (job, key, to, verdict, reason, retry_after_ms, took_ms,
                       late, steps_left_out))

// --- One task at an agent ---

struct StartReceived {
  static constexpr const char* kName = "start_received";
  std::string job;
  std::string key;
  std::uint64_t task = 0;
  std::uint64_t attempt = 0;
  EntryId from;
  Duration allowed_ms{};
};
BOOST_DESCRIBE_STRUCT(StartReceived, (),
                      (job, key, task, attempt, from, allowed_ms))

struct TaskOrdered {
  static constexpr const char* kName = "task_ordered";
  std::string job;
  std::uint64_t task = 0;
};
BOOST_DESCRIBE_STRUCT(TaskOrdered, (), (job, task))

struct TaskStopOrdered {
  static constexpr const char* kName = "task_stop_ordered";
  std::string job;
  std::uint64_t task = 0;
};
BOOST_DESCRIBE_STRUCT(TaskStopOrdered, (), (job, task))

// A run has ended: the upstream has reported its result, or the lease has
// expired.
struct UpstreamEndLine {
  static constexpr const char* kName = "upstream_ended_task";
  std::string job;
  std::string key;
  std::uint64_t task = 0;
  UpstreamResult result = UpstreamResult::kBroken;
  Duration took_ms{};
};
BOOST_DESCRIBE_STRUCT(UpstreamEndLine, (), (job, key, task, result, took_ms))

struct StartRefusedLine {
  static constexpr const char* kName = "start_refused";
  std::string job;
  std::string key;
  std::uint64_t task = 0;
  Reason reason = Reason::kNoFreeSlot;
  std::uint64_t millicores_in_use = 0;
  std::uint64_t millicores_waiting = 0;
  std::uint64_t millicores = 0;
};
BOOST_DESCRIBE_STRUCT(StartRefusedLine, (),
                      (job, key, task, reason, millicores_in_use,
                       millicores_waiting, millicores))

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_LOG_EVENTS_H_
