#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_H_

#include <map>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_events.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/hand_over.h"
#include "libraries/entry_core/home_jobs.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/entry_core/refusal_confirmer.h"
#include "libraries/entry_core/relay_table.h"

namespace dandelionspur {

// Every decision of an entry, as a deterministic state machine. It owns no
// socket, thread, clock or random source, so the same events give the same
// effects again.
class EntryCore {
 public:
  using Event = EntryEvent;
  using Effect = EntryEffect;
  using Settings = EntryCoreSettings;

  explicit EntryCore(const EntryCoreSettings& configured);
  // The parts refer to each other.
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  std::vector<EntryEffect> Handle(const EntryEvent& event, Timestamp now);

  // Whether callers should be sent here.
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] const View& view() const { return this->ownership.view(); }
  [[nodiscard]] const AgentRegistry& agents() const { return this->registry; }
  [[nodiscard]] const Ownership& buckets() const { return this->ownership; }
  [[nodiscard]] std::size_t jobs_at_home() const { return this->home.size(); }
  // The longest time that another entry's messages take to be handled here.
  [[nodiscard]] Duration inbound_delay() const {
    return this->peers.LongestInboundDelay();
  }
  [[nodiscard]] std::size_t jobs_relayed() const { return this->relays.size(); }
  [[nodiscard]] const std::map<ServiceName, VersionedDocument>& documents()
      const {
    return this->documents_in_force;
  }

 private:
  void On(const CallerSubmitted& event);
  void On(const CallerCancelled& event);
  void On(const PeerConnected& event);
  void On(const PeerDisconnected& event);
  void On(const PeerLinkRenewed& event);
  void On(const PeerProvenDead& event);
  void On(const PeerMessageReceived& event);
  void On(const AgentConnected& event);
  void On(const AgentDisconnected& event);
  void On(const AgentProvenDead& event);
  void On(const AgentMessageReceived& event);
  void On(const ViewRead& event);
  void On(const DocumentRead& event);
  void On(const DrainRequested& event);
  void On(const EntryTick& event);

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
  void OnPeer(EntryId from, const Healed& message);
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

  // `message.job.time_allowed` counts from now.
  void TakeRelay(EntryId from, const Relay& message);
  void AdoptView(const View& view);
  void AdoptDocument(const VersionedDocument& document);
  [[nodiscard]] PeerState StateForPeers() const;
  void SendState(EntryId peer);
  // Acquires what is vacant, makes active what may be, starts what can start.
  void Settle();
  void MoveJobs(const std::vector<BucketId>& lost);
  void Observe(const std::vector<BucketBallot>& seen);
  void LoseAgent(AgentId agent, AgentRuns runs);
  void RemoveDeadMembers();
  void SendHeartbeats();
  // Whether this entry may tell agents to keep tasks running.
  [[nodiscard]] bool ActsForAgents() const;
  void ContinueDrain();
  // Proposes a view without this entry once the others know its keys.
  void LeaveView();
  [[nodiscard]] bool IsMember() const {
    return this->view().Find(this->settings.self) != nullptr;
  }

  EntryCoreSettings settings;
  EntryOutbox outbox;
  AgentRegistry registry;
  PeerDirectory peers;
  Ownership ownership;
  RefusalConfirmer confirmer;
  HomeJobs home;
  RelayTable relays;
  KeyHandOver hand_over;
  std::map<ServiceName, VersionedDocument> documents_in_force;
  std::map<AgentId, Timestamp> silent_agents;
  Timestamp current_time;
  Timestamp last_tick;
  Timestamp next_repeat;
  Timestamp next_heartbeat;
  // When this entry first was a member; keys and losses from before are known
  // only through others.
  std::optional<Timestamp> member_since;
  Epoch joined_in;
  // Peers that have not spoken yet on their newest connection.
  std::set<EntryId> renewed_links;
  bool draining = false;
  Timestamp drain_began;
  Timestamp next_departure;
  bool drained_reported = false;
  bool removal_reported = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_H_
