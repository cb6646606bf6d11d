#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_LOG_EVENTS_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_LOG_EVENTS_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

#include "libraries/agent_core/agent_events.h"
#include "libraries/entry_core/entry_events.h"

// Every kind of log line, one struct each: the fields are written in this
// order, with these names. `job` is the id that the caller gave the job, `key`
// its digest, which alone travels in some messages. Durations are in
// milliseconds, ages are as of the line's time.
namespace dandelionspur {

// --- What a process is, and what it believes ---

struct ProcessStarted {
  static constexpr const char* kName = "started";
  // Entry or agent id: one incarnation of the process.
  std::uint64_t incarnation = 0;
  std::string version;
};
BOOST_DESCRIBE_STRUCT(ProcessStarted, (), (incarnation, version))

// A planned stop has begun.
struct ProcessDraining {
  static constexpr const char* kName = "draining";
};
BOOST_DESCRIBE_STRUCT(ProcessDraining, (), ())

// From now on no caller is taken in: connections that are open, and requests
// on them that are not answered yet.
struct CallersClosed {
  static constexpr const char* kName = "callers_closed";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
};
BOOST_DESCRIBE_STRUCT(CallersClosed, (), (connections, unanswered))

// Every caller has its answer, and no connection of a caller is left.
struct CallersAnswered {
  static constexpr const char* kName = "callers_answered";
};
BOOST_DESCRIBE_STRUCT(CallersAnswered, (), ())

// So late in a planned stop that callers are told that their jobs may have
// run.
struct AnswersDue {
  static constexpr const char* kName = "answers_due";
  std::size_t connections = 0;
  std::size_t unanswered = 0;
  // Of the unanswered, those that the core works on.
  std::size_t undecided = 0;
};
BOOST_DESCRIBE_STRUCT(AnswersDue, (), (connections, unanswered, undecided))

// The process ends although not all that it wanted to do is done.
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

// The settings file has changed: names of the settings that are in force now,
// and of those that wait for the next start.
struct SettingsReloaded {
  static constexpr const char* kName = "settings_reloaded";
  std::string in_force;
  std::string at_next_start;
};
BOOST_DESCRIBE_STRUCT(SettingsReloaded, (), (in_force, at_next_start))

// The settings file can't be read or has a problem; nothing has changed.
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

// The operators' configuration can't be understood; the last one stays.
struct ConfigurationUnreadable {
  static constexpr const char* kName = "configuration_unreadable";
  std::string problem;
};
BOOST_DESCRIBE_STRUCT(ConfigurationUnreadable, (), (problem))

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
};
BOOST_DESCRIBE_STRUCT(DocumentAdopted, (), (service, version))

// The entry acts, or acts no more, as home of so many buckets.
struct HomeOfBuckets {
  static constexpr const char* kName = "ownership_changed";
  OwnershipPhase phase = OwnershipPhase::kNone;
  std::uint64_t buckets = 0;
};
BOOST_DESCRIBE_STRUCT(HomeOfBuckets, (), (phase, buckets))

// The entry handles its work late: it gets too little processor time.
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

// The others took the entry out of the view.
struct RemovedFromViewLine {
  static constexpr const char* kName = "removed_from_view";
};
BOOST_DESCRIBE_STRUCT(RemovedFromViewLine, (), ())

// The process starts again from nothing, without ending.
struct ProcessRestarting {
  static constexpr const char* kName = "beginning_anew";
};
BOOST_DESCRIBE_STRUCT(ProcessRestarting, (), ())

// A connection to another entry came or went.
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

// Another entry has a new connection to this one.
struct PeerReachesThis {
  static constexpr const char* kName = "peer_link_renewed";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerReachesThis, (), (peer))

// Another process answers at the entry's address, or none.
struct PeerDead {
  static constexpr const char* kName = "peer_proven_dead";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerDead, (), (peer))

struct AgentReached {
  static constexpr const char* kName = "agent_connected";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentReached, (), (agent))

struct AgentOutOfReach {
  static constexpr const char* kName = "agent_disconnected";
  AgentId agent;
  Duration unheard_ms{};
};
BOOST_DESCRIBE_STRUCT(AgentOutOfReach, (), (agent, unheard_ms))

// The agent says that it takes no more tasks.
struct AgentLeaves {
  static constexpr const char* kName = "agent_leaving";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentLeaves, (), (agent))

// What the agent had started is settled without it.
struct AgentGivenUp {
  static constexpr const char* kName = "agent_given_up";
  AgentId agent;
  std::string upstream;
  // Whether its runs are known to be over, so that they may be run again.
  bool runs_are_over = false;
  Duration unheard_ms{};
  std::uint64_t tasks_started = 0;
};
BOOST_DESCRIBE_STRUCT(AgentGivenUp, (),
                      (agent, upstream, runs_are_over, unheard_ms,
                       tasks_started))

struct UpstreamHeard {
  static constexpr const char* kName = "upstream_announced";
  std::string upstream;
  std::string service;
  std::uint64_t millicores = 0;
};
BOOST_DESCRIBE_STRUCT(UpstreamHeard, (), (upstream, service, millicores))

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

// A call of the upstream can't be understood.
struct UpstreamCallUnreadable {
  static constexpr const char* kName = "upstream_call_unreadable";
  std::string problem;
};
BOOST_DESCRIBE_STRUCT(UpstreamCallUnreadable, (), (problem))

// Whether the lease of what runs may be renewed, from the age of the last
// heartbeat that an entry has confirmed.
struct RenewalLine {
  static constexpr const char* kName = "lease_renewal";
  LeaseRenewal renewal = LeaseRenewal::kSuspended;
  std::uint64_t tasks_running = 0;
};
BOOST_DESCRIBE_STRUCT(RenewalLine, (), (renewal, tasks_running))

// --- One job at an entry ---

// A caller's request that was refused before anybody else heard of it.
struct RequestRejected {
  static constexpr const char* kName = "request_rejected";
  std::string job;
  std::string service;
  Reason reason = Reason::kMalformedRequest;
  std::string detail;
};
BOOST_DESCRIBE_STRUCT(RequestRejected, (), (job, service, reason, detail))

// A caller's request that a stopping entry answered before the job was over.
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

// The job goes to the entry that is taken for its home.
struct RelaySent {
  static constexpr const char* kName = "relay_sent";
  std::string job;
  EntryId home;
  std::uint64_t attempt = 0;
  std::uint64_t epoch = 0;
};
BOOST_DESCRIBE_STRUCT(RelaySent, (), (job, home, attempt, epoch))

// The job has come from the entry that its caller has asked.
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

// The other entry isn't the job's home, or no more.
struct RelayReturned {
  static constexpr const char* kName = "relay_moved";
  std::string job;
  EntryId from;
};
BOOST_DESCRIBE_STRUCT(RelayReturned, (), (job, from))

// The home has decided to refuse the job; it is answered once it is proven
// that nothing of it can run.
struct RefusalDecided {
  static constexpr const char* kName = "refusal_decided";
  std::string job;
  Reason reason = Reason::kComplete;
  std::uint64_t queued_tasks = 0;
  // Until what is queued now has been started.
  Duration expected_wait_ms{};
  // Processor cores of the service's upstreams.
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
  // What the entry believes of the upstream, and the age of that.
  std::uint64_t millicores_in_use = 0;
  std::uint64_t millicores = 0;
  Duration report_age_ms{};
  std::uint64_t still_queued = 0;
};
BOOST_DESCRIBE_STRUCT(TaskStartSent, (),
                      (job, task, attempt, agent, placement, millicores_in_use,
                       millicores, report_age_ms, still_queued))

// The agent has not started the task and never will.
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
  // As measured at the agent.
  Duration took_ms{};
};
BOOST_DESCRIBE_STRUCT(TaskEnded, (), (job, task, agent, outcome, took_ms))

// The task waits to be started once more.
struct TaskRetried {
  static constexpr const char* kName = "task_retried";
  std::string job;
  std::uint64_t task = 0;
  Reason reason = Reason::kNoFreeSlot;
};
BOOST_DESCRIBE_STRUCT(TaskRetried, (), (job, task, reason))

// The agent is asked what became of a task that was started before.
struct TaskAskedFor {
  static constexpr const char* kName = "task_asked_for";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(TaskAskedFor, (), (job, task, agent))

// What the agent knows of it.
struct TaskToldOf {
  static constexpr const char* kName = "task_told_of";
  std::string job;
  std::uint64_t task = 0;
  AgentId agent;
  StartedState state = StartedState::kNeverStarted;
  TaskOutcome outcome = TaskOutcome::kUnknown;
};
BOOST_DESCRIBE_STRUCT(TaskToldOf, (), (job, task, agent, state, outcome))

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

// The job's answer: to its caller, or to the entry that relayed it (`to`, 0
// for the caller).
struct JobAnswered {
  static constexpr const char* kName = "job_answered";
  std::string job;
  std::string key;
  EntryId to;
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kHomeUnreachable;
  Duration retry_after_ms{};
  // Since this process first heard of the job.
  Duration took_ms{};
  // After its objective.
  bool late = false;
  // Steps that were too many to keep.
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

// The upstream's word, or the end of its lease.
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
