#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_EVENTS_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_EVENTS_H_

#include <boost/describe.hpp>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// The upstream on the agent's instance has announced itself.
struct UpstreamAnnounced {
  static constexpr const char* kName = "upstream_announced";
  AgentDescription description;
};
BOOST_DESCRIBE_STRUCT(UpstreamAnnounced, (), (description))

struct EntryConnected {
  static constexpr const char* kName = "entry_connected";
  EntryId entry;
};
BOOST_DESCRIBE_STRUCT(EntryConnected, (), (entry))

struct EntryDisconnected {
  static constexpr const char* kName = "entry_disconnected";
  EntryId entry;
};
BOOST_DESCRIBE_STRUCT(EntryDisconnected, (), (entry))

struct EntryMessageReceived {
  static constexpr const char* kName = "entry_message_received";
  EntryId from;
  EntryToAgentMessage message;
};
BOOST_DESCRIBE_STRUCT(EntryMessageReceived, (), (from, message))

// The result of a task at the upstream.
// kBroken: the task may have run, and does not run any more.
// kNotSent: the upstream has not started the task and never will.
// kNoRoom: like kNotSent; the upstream has no free capacity for the task.
// kUnanswered: like kNotSent; the upstream did not answer the start order.
// kNoContact: like kNotSent; leases may not be granted at present.
// kCannotCarry: like kNotSent; the upstream's protocol can't carry the body.
BOOST_DEFINE_ENUM_CLASS(UpstreamResult, kSucceeded, kFailed, kBroken, kNotSent,
                        kNoRoom, kUnanswered, kNoContact, kCannotCarry)

struct UpstreamTaskCompleted {
  static constexpr const char* kName = "upstream_ended";
  TaskId task;
  UpstreamResult result = UpstreamResult::kBroken;
  Payload body;
  Duration elapsed{};
};
BOOST_DESCRIBE_STRUCT(UpstreamTaskCompleted, (), (task, result, body, elapsed))

// The upstream drains: it completes running tasks and accepts no new ones.
struct UpstreamLeaving {
  static constexpr const char* kName = "upstream_leaving";
};
BOOST_DESCRIBE_STRUCT(UpstreamLeaving, (), ())

// Whether the upstream answers calls.
BOOST_DEFINE_ENUM_CLASS(UpstreamContact, kAnswering, kSilent)

struct UpstreamContactChanged {
  static constexpr const char* kName = "upstream_contact_changed";
  UpstreamContact contact = UpstreamContact::kAnswering;
};
BOOST_DESCRIBE_STRUCT(UpstreamContactChanged, (), (contact))

// How the loss of an upstream was noticed.
// kNewIncarnation: another incarnation of the upstream has announced itself.
// kSilent: it has refused connections, and has not answered until the lease of
// its tasks had expired.
BOOST_DEFINE_ENUM_CLASS(LossEvidence, kNewIncarnation, kSilent)

// The upstream process has ended without notice, and with it all its tasks.
// Their completions follow.
struct UpstreamLost {
  static constexpr const char* kName = "upstream_lost";
  std::string upstream;
  LossEvidence evidence = LossEvidence::kNewIncarnation;
};
BOOST_DESCRIBE_STRUCT(UpstreamLost, (), (upstream, evidence))

// A call to the upstream has failed, and so did the next one, whose connection
// was refused. The upstream counts as silent. Its tasks may still run, since a
// refused connection does not prove that the process has ended.
struct UpstreamContactBroken {
  static constexpr const char* kName = "upstream_contact_broken";
  std::string upstream;
  // Time since the first call failed.
  Duration age{};
};
BOOST_DESCRIBE_STRUCT(UpstreamContactBroken, (), (upstream, age))

struct AgentViewRead {
  static constexpr const char* kName = "view_read";
  View view;
};
BOOST_DESCRIBE_STRUCT(AgentViewRead, (), (view))

// The table says of this agent's address that no task of an earlier agent there
// is running, nor will begin to.
struct AddressFoundVacant {
  static constexpr const char* kName = "address_found_vacant";
};
BOOST_DESCRIBE_STRUCT(AddressFoundVacant, (), ())

// The table lists this agent's address, after a ClaimAddress, and this view was
// read since. It names every entry that does not know so.
struct AddressClaimed {
  static constexpr const char* kName = "address_claimed";
  View view;
};
BOOST_DESCRIBE_STRUCT(AddressClaimed, (), (view))

struct LeaveRequested {
  static constexpr const char* kName = "leave_requested";
};
BOOST_DESCRIBE_STRUCT(LeaveRequested, (), ())

struct AgentTick {
  static constexpr const char* kName = "tick";
  static constexpr std::size_t kRequiredMembers = 0;
  // The tasks at the upstream whose starts aren't confirmed.
  std::vector<TaskId> unconfirmed{};
};
BOOST_DESCRIBE_STRUCT(AgentTick, (), (unconfirmed))

using AgentEvent =
    std::variant<UpstreamAnnounced, EntryConnected, EntryDisconnected,
                 EntryMessageReceived, UpstreamTaskCompleted, AgentViewRead,
                 LeaveRequested, AgentTick, UpstreamLeaving,
                 UpstreamContactChanged, UpstreamLost, UpstreamContactBroken,
                 AddressFoundVacant, AddressClaimed>;

struct SendToEntry {
  static constexpr const char* kName = "send_to_entry";
  EntryId to;
  AgentMessage message;
};
BOOST_DESCRIBE_STRUCT(SendToEntry, (), (to, message))

struct RunOnUpstream {
  static constexpr const char* kName = "run_on_upstream";
  TaskId task;
  // Together with the task's index, the name of the task at the upstream.
  std::string job_name;
  Payload body;
  Duration time_left{};
};
BOOST_DESCRIBE_STRUCT(RunOnUpstream, (), (task, job_name, body, time_left))

struct StopOnUpstream {
  static constexpr const char* kName = "stop_on_upstream";
  TaskId task;
};
BOOST_DESCRIBE_STRUCT(StopOnUpstream, (), (task))

// The agent must keep a connection to every member of this view.
struct ConnectToMembers {
  static constexpr const char* kName = "connect_to_members";
  View view;
};
BOOST_DESCRIBE_STRUCT(ConnectToMembers, (), (view))

// After a LeaveRequested, all tasks have completed.
struct AgentDrained {
  static constexpr const char* kName = "agent_drained";
};
BOOST_DESCRIBE_STRUCT(AgentDrained, (), ())

struct StartRefusalCounted {
  static constexpr const char* kName = "start_refusal_counted";
  Reason reason = Reason::kNoFreeSlot;
};
BOOST_DESCRIBE_STRUCT(StartRefusalCounted, (), (reason))

// Whether the lease of the tasks at the upstream may be granted or renewed.
BOOST_DEFINE_ENUM_CLASS(LeaseRenewal, kAllowed, kSuspended)

struct RenewalChanged {
  static constexpr const char* kName = "renewal_changed";
  LeaseRenewal renewal = LeaseRenewal::kSuspended;
};
BOOST_DESCRIBE_STRUCT(RenewalChanged, (), (renewal))

// The agent's data centre is evacuated from now on, or not any more.
struct OwnEvacuationChanged {
  static constexpr const char* kName = "own_evacuation_changed";
  EvacuationPhase phase = EvacuationPhase::kBegun;
  EvacuationVersion version;
};
BOOST_DESCRIBE_STRUCT(OwnEvacuationChanged, (), (phase, version))

// The upstream is gone and no task is running, nor will begin to. The agent
// starts none before an AddressClaimed, so the table may mark its address as
// vacant: entries that join need not wait for it.
struct ReleaseAddress {
  static constexpr const char* kName = "release_address";
};
BOOST_DESCRIBE_STRUCT(ReleaseAddress, (), ())

// The upstream is back after a ReleaseAddress. The table must list the address
// before any task is started.
struct ClaimAddress {
  static constexpr const char* kName = "claim_address";
};
BOOST_DESCRIBE_STRUCT(ClaimAddress, (), ())

using AgentEffect =
    std::variant<SendToEntry, RunOnUpstream, StopOnUpstream, ConnectToMembers,
                 AgentDrained, StartRefusalCounted, RenewalChanged,
                 OwnEvacuationChanged, ReleaseAddress, ClaimAddress>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_EVENTS_H_
