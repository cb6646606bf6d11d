#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_EVENTS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_EVENTS_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "libraries/base/death_evidence.h"
#include "libraries/entry_core/interference/suspicion_phase.h"
#include "libraries/protocol/agent_messages.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

struct CallerSubmitted {
  static constexpr const char* kName = "caller_submitted";
  RequestId request;
  JobSubmission job;
};
BOOST_DESCRIBE_STRUCT(CallerSubmitted, (), (request, job))

struct CallerCancelled {
  static constexpr const char* kName = "caller_cancelled";
  static constexpr std::size_t kRequiredMembers = 1;
  JobKey key;
  // Set if the caller waits for CancelAnswered.
  std::optional<RequestId> request{};
};
BOOST_DESCRIBE_STRUCT(CallerCancelled, (), (key, request))

struct PeerConnected {
  static constexpr const char* kName = "peer_connected";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerConnected, (), (peer))

struct PeerDisconnected {
  static constexpr const char* kName = "peer_disconnected";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerDisconnected, (), (peer))

// The peer has opened a new connection to this entry. Messages that it sent on
// an earlier one may be lost; the connection from this entry to the peer is not
// affected.
struct PeerLinkRenewed {
  static constexpr const char* kName = "peer_link_renewed";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerLinkRenewed, (), (peer))

// Another incarnation answers at the peer's address.
struct PeerProvenDead {
  static constexpr const char* kName = "peer_proven_dead";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerProvenDead, (), (peer))

// An attempt to connect to the peer was refused, for the first time since the
// last connection. It has probably ended, or a network partition refuses
// connections.
struct PeerRefusesConnections {
  static constexpr const char* kName = "peer_refuses_connections";
  EntryId peer;
};
BOOST_DESCRIBE_STRUCT(PeerRefusesConnections, (), (peer))

struct PeerMessageReceived {
  static constexpr const char* kName = "peer_message_received";
  EntryId from;
  PeerMessage message;
};
BOOST_DESCRIBE_STRUCT(PeerMessageReceived, (), (from, message))

struct AgentConnected {
  static constexpr const char* kName = "agent_connected";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentConnected, (), (agent))

struct AgentDisconnected {
  static constexpr const char* kName = "agent_disconnected";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentDisconnected, (), (agent))

// An attempt to connect to the agent's instance was refused. The agent has
// probably ended, or a network partition refuses connections.
struct AgentRefusesConnections {
  static constexpr const char* kName = "agent_refuses_connections";
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(AgentRefusesConnections, (), (agent))

struct AgentMessageReceived {
  static constexpr const char* kName = "agent_message_received";
  AgentId from;
  AgentMessage message;
};
BOOST_DESCRIBE_STRUCT(AgentMessageReceived, (), (from, message))

struct ViewRead {
  static constexpr const char* kName = "view_read";
  View view;
};
BOOST_DESCRIBE_STRUCT(ViewRead, (), (view))

struct DocumentRead {
  static constexpr const char* kName = "document_read";
  VersionedDocument document;
};
BOOST_DESCRIBE_STRUCT(DocumentRead, (), (document))

struct DrainRequested {
  static constexpr const char* kName = "drain_requested";
};
BOOST_DESCRIBE_STRUCT(DrainRequested, (), ())

struct EntryTick {
  static constexpr const char* kName = "tick";
  static constexpr std::size_t kRequiredMembers = 0;
  // Bytes of starts and relays that wait for the link.
  std::uint64_t send_backlog = 0;
  // How long ago the latest reading of the view began that this entry has
  // finished. Not set if that is not known.
  std::optional<Duration> view_age;
};
BOOST_DESCRIBE_STRUCT(EntryTick, (), (send_backlog, view_age))

// The evacuated data centres by the operators' table.
struct EvacuationsRead {
  static constexpr const char* kName = "evacuations_read";
  EvacuationSet evacuations;
};
BOOST_DESCRIBE_STRUCT(EvacuationsRead, (), (evacuations))
// The addresses of all agents that were listed in the table at some time after
// it had held the view of this epoch.
struct AgentAddressesRead {
  static constexpr const char* kName = "agent_addresses_read";
  Epoch epoch;
  std::vector<Endpoint> addresses;
};
BOOST_DESCRIBE_STRUCT(AgentAddressesRead, (), (epoch, addresses))

using EntryEvent =
    std::variant<CallerSubmitted, CallerCancelled, PeerConnected,
                 PeerDisconnected, PeerProvenDead, PeerMessageReceived,
                 AgentConnected, AgentDisconnected, AgentRefusesConnections,
                 AgentMessageReceived, ViewRead, DocumentRead, DrainRequested,
                 EntryTick, PeerLinkRenewed, PeerRefusesConnections,
                 EvacuationsRead, AgentAddressesRead>;

// Whether a cancelling holds: two entries know of it, the home or ones that
// tell each later home, and so do the agents that Cancellations asks for.
// kNotConfirmed: that couldn't be confirmed in time.
BOOST_DEFINE_ENUM_CLASS(CancelOutcome, kHolds, kNotConfirmed)

struct CancelAnswered {
  static constexpr const char* kName = "cancel_answered";
  RequestId request;
  JobKey key;
  CancelOutcome outcome = CancelOutcome::kNotConfirmed;
};
BOOST_DESCRIBE_STRUCT(CancelAnswered, (), (request, key, outcome))

struct AnswerCaller {
  static constexpr const char* kName = "answer_caller";
  RequestId request;
  JobKey key;
  JobAnswer answer;
};
BOOST_DESCRIBE_STRUCT(AnswerCaller, (), (request, key, answer))

struct SendToPeer {
  static constexpr const char* kName = "send_to_peer";
  EntryId to;
  PeerMessage message;
};
BOOST_DESCRIBE_STRUCT(SendToPeer, (), (to, message))

struct SendToAgent {
  static constexpr const char* kName = "send_to_agent";
  AgentId to;
  EntryToAgentMessage message;
};
BOOST_DESCRIBE_STRUCT(SendToAgent, (), (to, message))

// Writes this view to the table, provided that the table still holds the
// preceding view.
struct ProposeView {
  static constexpr const char* kName = "propose_view";
  View view;
};
BOOST_DESCRIBE_STRUCT(ProposeView, (), (view))

// This view is in force at this entry, which must stay connected to every
// member.
struct ViewInForce {
  static constexpr const char* kName = "view_in_force";
  View view;
};
BOOST_DESCRIBE_STRUCT(ViewInForce, (), (view))

struct DocumentInForce {
  static constexpr const char* kName = "document_in_force";
  VersionedDocument document;
};
BOOST_DESCRIBE_STRUCT(DocumentInForce, (), (document))

// A start was refused or a run completed without success, and the task was
// queued again.
struct RetryCounted {
  static constexpr const char* kName = "retry_counted";
  TaskId task;
  Reason reason = Reason::kNoFreeSlot;
  // Where the task was started before.
  AgentId agent;
};
BOOST_DESCRIBE_STRUCT(RetryCounted, (), (task, reason, agent))

// No task of the agents at this address is running, nor will begin to, and none
// of them has been heard for long. The table may mark the address as vacant
// unless the row has changed within `unchanged_for`.
struct ReleaseAgentAddress {
  static constexpr const char* kName = "release_agent_address";
  Endpoint address;
  Duration unchanged_for{};
};
BOOST_DESCRIBE_STRUCT(ReleaseAgentAddress, (), (address, unchanged_for))

// The home has refused a job; the members are the basis of the decision.
struct JobRefused {
  static constexpr const char* kName = "job_refused";
  JobKey key;
  Reason reason = Reason::kComplete;
  std::uint32_t queued_tasks = 0;
  // Expected time until all tasks queued now have been started.
  Duration expected_wait{};
  // Processor cores of the service's upstreams.
  std::uint64_t cores = 0;
};
BOOST_DESCRIBE_STRUCT(JobRefused, (),
                      (key, reason, queued_tasks, expected_wait, cores))

// An agent is considered lost, and the tasks that were started there are
// considered ended.
struct AgentLost {
  static constexpr const char* kName = "agent_lost";
  AgentId agent;
  // Whether no task that the agent started can still be running.
  bool runs_are_over = false;
  std::uint64_t tasks_started = 0;
  DeathEvidence evidence = DeathEvidence::kOtherIncarnation;
  // Those of the tasks whose starts aren't confirmed.
  std::uint64_t tasks_unconfirmed = 0;
};
BOOST_DESCRIBE_STRUCT(AgentLost, (),
                      (agent, runs_are_over, tasks_started, evidence,
                       tasks_unconfirmed))

BOOST_DEFINE_ENUM_CLASS(QuarantinePhase, kBegun, kReleased)

// From now on the tasks of a group that crashes upstreams run only at a few
// upstreams, or again at all.
struct QuarantineChanged {
  static constexpr const char* kName = "quarantine_changed";
  QuarantinePhase phase = QuarantinePhase::kBegun;
  ServiceName service;
  JobGroupId group;
  // The losses of upstreams that the group explained when it was quarantined,
  // and the number of distinct moments at which they occurred.
  std::uint32_t losses = 0;
  std::uint32_t moments = 0;
  std::uint32_t upstreams = 0;
};
BOOST_DESCRIBE_STRUCT(QuarantineChanged, (),
                      (phase, service, group, losses, moments, upstreams))

// From now on the tasks of two groups are kept apart where there is room, or no
// longer, since those of `victim` take `slowdown_percent` of their usual time
// beside those of `neighbour`. Victim 0: those of all groups.
struct InterferenceChanged {
  static constexpr const char* kName = "interference_changed";
  SuspicionPhase phase = SuspicionPhase::kBegun;
  ServiceName service;
  JobGroupId victim;
  JobGroupId neighbour;
  std::uint32_t slowdown_percent = 0;
};
BOOST_DESCRIBE_STRUCT(InterferenceChanged, (),
                      (phase, service, victim, neighbour, slowdown_percent))

BOOST_DEFINE_ENUM_CLASS(OwnershipPhase, kNone, kCollecting, kActive)

// Why an entry acquires a bucket. kNewView: the view has changed since its
// ballot. kMemberLost: its home has left the view or is proven dead.
// kSuspected: its home is silent. kTakenBack: this entry ranks first, and its
// home does not.
BOOST_DEFINE_ENUM_CLASS(MoveReason, kNewView, kMemberLost, kSuspected,
                        kTakenBack)

// The phase of these buckets at this entry has changed: it is acquiring them or
// acts as their home.
struct OwnershipChanged {
  static constexpr const char* kName = "ownership_changed";
  static constexpr std::size_t kRequiredMembers = 2;
  OwnershipPhase phase = OwnershipPhase::kNone;
  std::vector<BucketBallot> buckets;
  // Of an acquisition.
  std::optional<MoveReason> reason;
};
BOOST_DESCRIBE_STRUCT(OwnershipChanged, (), (phase, buckets, reason))

// Other members removed this entry from the view. It can only rejoin as a new
// incarnation.
struct RemovedFromView {
  static constexpr const char* kName = "removed_from_view";
};
BOOST_DESCRIBE_STRUCT(RemovedFromView, (), ())

// The requested drain is complete.
struct EntryDrained {
  static constexpr const char* kName = "entry_drained";
};
BOOST_DESCRIBE_STRUCT(EntryDrained, (), ())

// From now on no task is placed in the data centre, or again.
struct EvacuationChanged {
  static constexpr const char* kName = "evacuation_changed";
  EvacuationPhase phase = EvacuationPhase::kBegun;
  DataCentreName data_centre;
  EvacuationVersion version;
};
BOOST_DESCRIBE_STRUCT(EvacuationChanged, (), (phase, data_centre, version))

using EntryEffect =
    std::variant<AnswerCaller, SendToPeer, SendToAgent, ProposeView,
                 ViewInForce, DocumentInForce, RetryCounted, JobRefused,
                 AgentLost, OwnershipChanged, RemovedFromView, EntryDrained,
                 QuarantineChanged, CancelAnswered, EvacuationChanged,
                 InterferenceChanged, ReleaseAgentAddress>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_EVENTS_H_
