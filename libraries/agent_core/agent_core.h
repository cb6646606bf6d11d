#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/agent_core/address_claim.h"
#include "libraries/agent_core/agent_events.h"
#include "libraries/agent_core/evacuation_guard.h"
#include "libraries/agent_core/loss_suspects.h"
#include "libraries/agent_core/neighbour_record.h"
#include "libraries/agent_core/recent_losses.h"
#include "libraries/agent_core/started_set.h"
#include "libraries/agent_core/upstream_admission.h"
#include "libraries/agent_core/upstream_performance.h"
#include "libraries/protocol/upstream_losses.h"

namespace dandelionspur {

struct AgentCoreSettings {
  static constexpr std::size_t kRequiredMembers = 6;
  AgentId self;
  std::uint32_t bucket_count = 0;
  StartedSetLimits started_set;
  // An unacknowledged registration is sent again after this time.
  Duration registration_interval = std::chrono::milliseconds(200);
  Duration heartbeat_interval = std::chrono::milliseconds(150);
  // The upstream's lease is renewed only for this long after the sending of the
  // latest heartbeat that an entry has confirmed.
  Duration contact_limit = kContactLimit;
  DataCentreName data_centre;
  // Where this agent and all earlier ones on its instance are reached.
  Endpoint admin_endpoint{};
  // The longest time for which tasks of an earlier agent can run, or begin to,
  // after this one has begun.
  Duration predecessor_run_time =
      MaximumRunTime(std::chrono::seconds(1), StartConfirmation::kUnconfirmed);
  // Whether the table lists the agents' addresses.
  bool claims_address = false;
};
BOOST_DESCRIBE_STRUCT(StartedSetLimits, (),
                      (maximum_tasks, maximum_answer_bytes, duplicate_window))
BOOST_DESCRIBE_STRUCT(AgentCoreSettings, (),
                      (self, bucket_count, started_set, registration_interval,
                       heartbeat_interval, contact_limit, data_centre,
                       admin_endpoint, predecessor_run_time, claims_address))

// All decisions of an agent, as a deterministic state machine: the last check
// before a task reaches its upstream. It uses no socket, thread, clock or
// random source.
class AgentCore {
 public:
  using Event = AgentEvent;
  using Effect = AgentEffect;
  using Settings = AgentCoreSettings;

  explicit AgentCore(const AgentCoreSettings& configured);

  std::vector<AgentEffect> Handle(const AgentEvent& event, Timestamp now);

  [[nodiscard]] std::size_t running() const {
    return this->admission.running_count();
  }
  // The tasks at the upstream, in the order of their ids.
  [[nodiscard]] std::vector<TaskId> RunningTasks() const;
  // The running tasks that may have caused the latest break of contact with the
  // upstream; empty if contact is not broken.
  [[nodiscard]] const std::set<TaskId>& suspected_tasks() const {
    return this->break_suspects;
  }
  [[nodiscard]] std::size_t remembered() const { return this->started.size(); }
  // Whether a lease may be granted or extended at `now`. Call it for each
  // lease, since the process may have been frozen after its last event.
  [[nodiscard]] LeaseRenewal RenewalAt(Timestamp now) const;
  [[nodiscard]] bool is_ready() const { return this->ready; }
  // Whether no task may start, since the agent's data centre is evacuated.
  [[nodiscard]] bool is_evacuated() const {
    return this->evacuation.IsEvacuated();
  }

 private:
  void On(const UpstreamAnnounced& event);
  void On(const EntryConnected& event);
  void On(const EntryDisconnected& event);
  void On(const EntryMessageReceived& event);
  void On(const UpstreamTaskCompleted& event);
  void On(const AgentViewRead& event);
  void On(const LeaveRequested& event);
  void On(const AgentTick& event);
  void On(const UpstreamLeaving& event);
  void On(const UpstreamContactChanged& event);
  void On(const UpstreamLost& event);
  void On(const UpstreamContactBroken& event);
  void On(const AddressFoundVacant& event);
  void On(const AddressClaimed& event);

  void OnMessage(EntryId from, const RegisterAcknowledged& message);
  void OnMessage(EntryId from, const PromiseRequest& message);
  void OnMessage(EntryId from, const Start& message);
  void Accept(EntryId from, const Start& start);
  void OnMessage(EntryId from, const Renounce& message);
  void OnMessage(EntryId from, const StopTask& message);
  void OnMessage(EntryId from, const DemandNotice& message);
  void OnMessage(EntryId from, const EntryHeartbeat& message);
  void OnMessage(EntryId from, const ConfirmRequest& message);

  void AdoptView(const View& candidate);
  // Takes over what the entry tells of evacuated data centres, if anything.
  void AdoptEvacuations(EntryId from, const std::optional<EvacuationSet>& told);
  void SendRegistrations();
  // Becomes ready once every member of the view has acknowledged this agent.
  // Announces that to all of them when it begins, and to each entry that
  // acknowledges this agent later.
  void CheckReady();
  void AnnounceReady(EntryId entry);
  // The buckets of the request that this agent may promise to the sender.
  [[nodiscard]] std::vector<BucketId> Grantable(
      EntryId from, const PromiseRequest& message) const;
  [[nodiscard]] std::optional<Reason> StartRefusalReason(
      const Start& start) const;
  void RefuseStart(EntryId to, const Start& start, Reason reason);
  // The reason as this entry can decode it.
  [[nodiscard]] Reason ReasonFor(EntryId to, Reason reason) const;
  // Forbids a start that was withdrawn from the queue and sends the home the
  // reason.
  void RejectQueued(const AcceptedStart& accepted, Reason reason);
  // Starts queued tasks while there is free capacity; returns all of them while
  // the agent accepts no tasks.
  void StartQueued();
  // After a change of the capacity: returns the queued starts that can't fit
  // into it, and starts those for which there is free capacity.
  void ApplyCapacity();
  void StopOverdue();
  // Ends a break of contact after which the same upstream has answered again.
  void WithdrawContactBreak();
  // The task's state, with the losses of upstreams under it.
  [[nodiscard]] TaskReport ReportOf(const TaskId& task) const;
  // Updates whether leases may be granted; returns the queued starts while they
  // may not.
  void UpdateRenewal();
  // Records that an entry has confirmed the heartbeat that was sent at this
  // time.
  void NoteConfirmed(Timestamp sent_at);
  // Why the agent accepts no tasks; nothing while it accepts them.
  [[nodiscard]] std::optional<Reason> NotAcceptingReason() const;
  [[nodiscard]] bool ReportsNeighbours() const {
    return this->current_time < this->report_neighbours_until;
  }
  [[nodiscard]] AgentLoad LoadFor(EntryId entry) const;
  // How many of the latest starts of the entry, which is connected, follow the
  // first one that is not confirmed and has not ended, including that one.
  [[nodiscard]] std::uint32_t UnconfirmedStarts(EntryId entry) const;
  // Returns LoadFor(entry) and records that the entry receives this load.
  AgentLoad ReportLoad(EntryId entry);
  void SendHeartbeat(EntryId entry);
  // Sends a heartbeat to each entry with demand other than `except`, if the
  // upstream has free capacity.
  void NotifyEntriesWithDemand(EntryId except);
  void SendHeartbeats();
  void Send(EntryId to, AgentMessage message);
  // This agent's address, while no task is left there and none can start before
  // each member of the view has acknowledged another registration. Nothing
  // while there is an upstream: a registration shows the same.
  [[nodiscard]] std::optional<Endpoint> VacantAddress() const;
  // Releases the address once no upstream is there and no task runs.
  void ReleaseAddressIfVacant();
  // Claims it for an upstream that is there. Until then the agent is not ready:
  // entries that have joined meanwhile don't know it.
  void ClaimAddressIfReleased();
  [[nodiscard]] BucketId BucketOfKey(const JobKey& key) const;

  struct ConnectedEntry {
    std::uint64_t starts_seen = 0;
    // Number of tasks that the entry queues for lack of free capacity; 0 once
    // a load with free capacity was reported to it.
    std::uint32_t demand = 0;
    // The body of the entry's latest start on this connection.
    Payload latest_body;
    // The load version that was last reported to the entry.
    std::uint64_t reported_load = 0;
    // An entry that tells of evacuations knows the reason for a refusal by
    // one; an earlier version can't decode it.
    bool tells_evacuations = false;
  };

  AgentCoreSettings settings;
  StartedSet started;
  UpstreamAdmission admission;
  UpstreamPerformance performance;
  UpstreamLosses losses;
  RecentLosses recent_losses;
  EvacuationGuard evacuation;
  NeighbourRecord neighbours;
  // Until then the entries are told which groups run beside each other.
  Timestamp report_neighbours_until;
  // The suspects of a break of contact that has not ended; empty without one.
  std::set<TaskId> break_suspects;
  View view;
  std::optional<AgentDescription> description;
  std::vector<Ballot> promises;
  std::map<EntryId, ConnectedEntry> connected;
  // The connected entries that know this agent.
  std::set<EntryId> acknowledged;
  // The entries whose promises this agent has taken over.
  std::set<EntryId> promises_received;
  // The epoch of the view in which each connected entry was last told that this
  // agent is ready.
  std::map<EntryId, Epoch> ready_announced;
  // Running tasks for which the upstream has received a stop order.
  std::set<TaskId> stopping;
  Timestamp current_time;
  // For how long this agent has run; a step of the clock adds little.
  Duration running_for{};
  // The table has said that no task of an earlier agent is left.
  bool predecessors_over = false;
  AddressClaim claim;
  Timestamp latest_tick;
  Timestamp next_registration;
  Timestamp next_heartbeat;
  // Increases whenever a task is queued, started, withdrawn or completed, or
  // the capacity changes.
  std::uint64_t load_version = 1;
  // Send time of the latest heartbeat that an entry has confirmed.
  Timestamp last_confirmed;
  LeaseRenewal renewal = LeaseRenewal::kSuspended;
  UpstreamContact contact = UpstreamContact::kAnswering;
  bool ready = false;
  bool leaving = false;
  bool upstream_leaving = false;
  bool drained_reported = false;
  std::vector<AgentEffect> effects;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_
