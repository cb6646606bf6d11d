#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_H_

#include <map>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_contacts.h"
#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/cancellations.h"
#include "libraries/entry_core/documents_in_force.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_events.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/evacuation/evacuations.h"
#include "libraries/entry_core/hand_over.h"
#include "libraries/entry_core/home_assignment.h"
#include "libraries/entry_core/home_jobs.h"
#include "libraries/entry_core/local_health.h"
#include "libraries/entry_core/memory_use.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/entry_core/recovery/lost_addresses.h"
#include "libraries/entry_core/refusal_confirmer.h"
#include "libraries/entry_core/relay_table.h"
#include "libraries/entry_core/view_spread.h"

namespace dandelionspur {

// Makes all decisions of an entry as a deterministic state machine. It owns no
// socket, thread, clock or random source, so the same sequence of events and
// times always gives the same effects.
class EntryCore {
 public:
  using Event = EntryEvent;
  using Effect = EntryEffect;
  using Settings = EntryCoreSettings;

  explicit EntryCore(const EntryCoreSettings& configured);
  // Members hold references to other members.
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  std::vector<EntryEffect> Handle(const EntryEvent& event, Timestamp now);

  // Whether this entry is ready for callers: it is a member of the view, not
  // draining, has a ready agent and service documents, and is synchronized or
  // has outlived all earlier leases.
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] const View& view() const { return this->ownership.view(); }
  [[nodiscard]] const AgentRegistry& agents() const { return this->registry; }
  [[nodiscard]] const Ownership& buckets() const { return this->ownership; }
  [[nodiscard]] const EvacuationSet& evacuations() const {
    return this->known_evacuations.known();
  }
  [[nodiscard]] std::size_t jobs_at_home() const { return this->home.size(); }
  // The other entry to which a job with this key would be relayed now; nothing
  // if this entry is its home or the home is not known.
  [[nodiscard]] std::optional<EntryId> OtherHomeOf(const JobKey& key,
                                                   Timestamp now) const;
  // What would become of the job if it was submitted now. Changes nothing.
  [[nodiscard]] JobPreview Preview(const JobSubmission& job, Timestamp now);
  // The groups that slow down others, of each service that keeps them apart.
  [[nodiscard]] std::vector<ServiceSuspicions> Suspicions() const {
    return this->home.Suspicions();
  }
  // The longest delay with which messages of connected entries are handled.
  [[nodiscard]] Duration inbound_delay() const {
    return this->peers.LongestInboundDelay();
  }
  // The delay with which messages of most connected entries are handled.
  [[nodiscard]] Duration typical_inbound_delay() const {
    return this->peers.TypicalInboundDelay();
  }
  // Walks over all buckets; for reports only.
  [[nodiscard]] BucketShare ComputeBucketShare() const {
    return ShareOf(this->ownership, this->settings);
  }
  // Walks over all jobs; for reports only.
  [[nodiscard]] MemoryUse ComputeMemoryUse() const;
  [[nodiscard]] std::size_t jobs_relayed() const { return this->relays.size(); }
  [[nodiscard]] const std::map<ServiceName, VersionedDocument>& documents()
      const {
    return this->documents_in_force.all();
  }

 private:
  void On(const CallerSubmitted& event);
  void On(const CallerCancelled& event);
  void On(const PeerConnected& event);
  void On(const PeerDisconnected& event);
  void On(const PeerLinkRenewed& event);
  void On(const PeerProvenDead& event);
  void On(const PeerRefusesConnections& event);
  void On(const PeerMessageReceived& event);
  void On(const AgentConnected& event);
  void On(const AgentDisconnected& event);
  void On(const AgentRefusesConnections& event);
  void On(const AgentMessageReceived& event);
  void On(const ViewRead& event);
  void On(const AgentAddressesRead& event);
  void On(const DocumentRead& event);
  void On(const DrainRequested& event);
  void On(const EntryTick& event);
  void On(const EvacuationsRead& event);

  void OnPeer(EntryId from, const PeerState& message);
  void OnPeer(EntryId from, const PromiseRequest& message);
  void OnPeer(EntryId from, const PromiseReply& message);
  void OnPeer(EntryId from, const WitnessRequest& message);
  void OnPeer(EntryId from, const WitnessReply& message);
  void OnPeer(EntryId from, const Relay& message);
  void OnPeer(EntryId from, const RelayAnswer& message);
  void OnPeer(EntryId from, const RelayMoved& message);
  void OnPeer(EntryId from, const CancelJob& message);
  void OnPeer(EntryId from, const ConfirmRequest& message);
  void OnPeer(EntryId from, const ConfirmReply& message);
  void OnPeer(EntryId from, const HandOver& message);
  void OnPeer(EntryId from, const HandOverReply& message);
  void OnPeer(EntryId from, const KeysReplicated& message);
  void OnPeer(EntryId from, const DocumentPush& message);
  void OnPeer(EntryId from, const PeerHeartbeat& message);

  void OnAgent(AgentId from, const Register& message);
  void OnAgent(AgentId from, const AgentReady& message);
  void OnAgent(AgentId from, const AgentPromiseReply& message);
  void OnAgent(AgentId from, const TaskFinished& message);
  void OnAgent(AgentId from, const TaskNotRun& message);
  void OnAgent(AgentId from, const RenounceReply& message);
  void OnAgent(AgentId from, const AgentLeaving& message);
  void OnAgent(AgentId from, const AgentHeartbeat& message);
  void OnAgent(AgentId from, const ConfirmReply& message);

  // Accepts, parks or returns a relay. `message.job.time_allowed` counts from
  // the current time.
  void AcceptRelay(EntryId from, const Relay& message);
  void AdoptView(const View& view);
  // Takes over a newer set of evacuated data centres, whoever told it.
  void AdoptEvacuations(const std::optional<EvacuationSet>& told);
  // Accounts for the members of `former` that have left without having told
  // this entry their agents.
  void NoteUntoldDepartures(const View& former);
  // Sends the view to the agents that learn of it from this entry.
  void SendViewToAgents();
  void SendView(KnownAgent& agent);
  // Sends the view to those that have had time to learn of it from elsewhere,
  // and are not known to have it.
  void SendViewToOutdatedPeers();
  void SendViewIfOutdated(KnownAgent& agent, Epoch epoch);
  [[nodiscard]] PeerState StateForPeers() const;
  void SendState(EntryId peer);
  // Runs after every event: acquires vacant buckets, activates those with
  // enough promises, and dispatches queued tasks.
  void AdvanceState();
  void ResubmitJobs(const std::vector<BucketId>& lost);
  void Observe(const std::vector<BucketBallot>& seen);
  void MarkAgentLost(AgentId agent, AgentRuns runs, DeathEvidence evidence);
  void RemoveDeadMembers();
  // Has the table forget the addresses of agents that have gone for good.
  void ReleaseLostAddresses();
  // The members that have ended, or that seem to have ended.
  [[nodiscard]] std::vector<EntryLoss> LostMembers() const;
  void SendHeartbeats();
  // Whether this entry may confirm heartbeats of agents, which lets them renew
  // the leases of running tasks. It must be in contact with most living
  // members.
  [[nodiscard]] bool MayRenewLeases() const;
  // Whether the other entries have taken this one for lost, so that it doesn't
  // count among those that an agent may still hear.
  [[nodiscard]] bool WasRemoved() const;
  void ContinueDrain();
  // Proposes a view without this entry once all other members have acknowledged
  // its keys.
  void LeaveView();
  [[nodiscard]] bool IsMember() const {
    return this->view().Find(this->settings.self) != nullptr;
  }

  EntryCoreSettings settings;
  EntryOutbox outbox;
  AgentRegistry registry;
  LostAddresses lost_addresses;
  LocalHealth health;
  PeerDirectory peers;
  AgentContacts contacts;
  ViewSpread view_spread;
  Ownership ownership;
  RefusalConfirmer confirmer;
  HomeJobs home;
  RelayTable relays;
  Cancellations cancellations;
  KeyHandOver hand_over;
  BucketReturn bucket_return;
  DocumentsInForce documents_in_force;
  Evacuations known_evacuations;
  std::map<AgentId, Timestamp> disconnected_agents;
  Timestamp current_time;
  Timestamp next_repeat;
  Timestamp next_release;
  Timestamp next_heartbeat;
  // When this entry first became a member. Only other members can report keys
  // and losses from before that time.
  std::optional<Timestamp> member_since;
  // The epoch of the first view with this entry.
  Epoch joined_epoch;
  // Peers from which no message has arrived since they reconnected.
  std::set<EntryId> renewed_links;
  bool draining = false;
  Timestamp drain_began;
  Timestamp next_departure;
  bool departure_proposed = false;
  bool drained_reported = false;
  bool removal_reported = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_H_
