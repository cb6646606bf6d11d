#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "libraries/agent_core/started_set.h"
#include "libraries/agent_core/upstream_room.h"

namespace dandelionspur {

struct AgentCoreSettings {
  AgentId self;
  std::uint32_t bucket_count = 0;
  StartedSetLimits started_set;
  // How long an unanswered registration waits before it is sent again.
  Duration registration_interval = std::chrono::milliseconds(200);
  Duration heartbeat_interval = std::chrono::milliseconds(150);
  // Without a word from an entry that has heard this agent for this long, the
  // upstream's lease is renewed no more.
  Duration contact_limit = kContactLimit;
};
BOOST_DESCRIBE_STRUCT(StartedSetLimits, (),
                      (maximum_tasks, maximum_answer_bytes, duplicate_window))
BOOST_DESCRIBE_STRUCT(AgentCoreSettings, (),
                      (self, bucket_count, started_set, registration_interval,
                       heartbeat_interval, contact_limit))

// Every decision of an agent, as a deterministic state machine: the last
// guard before a task reaches its upstream. It owns no socket, thread, clock
// or random source.
class AgentCore {
 public:
  using Event = AgentEvent;
  using Effect = AgentEffect;
  using Settings = AgentCoreSettings;

  explicit AgentCore(const AgentCoreSettings& configured);

  std::vector<AgentEffect> Handle(const AgentEvent& event, Timestamp now);

  [[nodiscard]] std::size_t running() const {
    return this->room.running_count();
  }
  [[nodiscard]] std::size_t remembered() const { return this->started.size(); }
  // Whether a lease may be given or extended at this moment. Asked for each
  // one, since the process may have been frozen after its last event.
  [[nodiscard]] LeaseRenewal RenewalAt(Timestamp now) const;
  [[nodiscard]] bool is_ready() const { return this->ready; }

 private:
  void On(const UpstreamAnnounced& event);
  void On(const EntryConnected& event);
  void On(const EntryDisconnected& event);
  void On(const EntryMessageReceived& event);
  void On(const UpstreamEnded& event);
  void On(const AgentViewRead& event);
  void On(const LeaveRequested& event);
  void On(const AgentTick& event);
  void On(const UpstreamLeaving& event);
  void On(const UpstreamContactChanged& event);

  void OnMessage(EntryId from, const RegisterAcknowledged& message);
  void OnMessage(EntryId from, const PromiseRequest& message);
  void OnMessage(EntryId from, const Start& message);
  void OnMessage(EntryId from, const Renounce& message);
  void OnMessage(EntryId from, const StopTask& message);
  void OnMessage(EntryId from, const DemandNotice& message);
  void OnMessage(EntryId from, const EntryHeartbeat& message);
  void OnMessage(EntryId from, const ConfirmRequest& message);

  void AdoptView(const View& candidate);
  void SendRegistrations();
  void CheckReady();
  [[nodiscard]] std::optional<Reason> StartObstacle(const Start& start) const;
  void RefuseStart(EntryId to, const Start& start, Reason reason);
  // An accepted start that waits in line and will not run.
  void DropWaiting(const AcceptedStart& accepted, Reason reason);
  // Starts what waits while there is room.
  void StartWaiting();
  void StopOverdue();
  // Notes whether leases may be given; what waits is given back where not.
  void CheckContact();
  // Why no task is taken at the moment, if so.
  [[nodiscard]] std::optional<Reason> ReasonToTakeNone() const;
  [[nodiscard]] AgentLoad LoadFor(EntryId entry) const;
  // The same, about to be sent: the entry knows of the load then.
  AgentLoad TellLoad(EntryId entry);
  void SendHeartbeat(EntryId entry);
  // Tells the entries that wait for room, or all of them, how full the
  // upstream is.
  void TellDemanding(EntryId except);
  void TellAll();
  void Send(EntryId to, AgentMessage message);
  [[nodiscard]] BucketId BucketOfKey(const JobKey& key) const;

  // What is known of an entry while it is connected.
  struct ConnectedEntry {
    std::uint64_t starts_seen = 0;
    // Tasks that it queues for want of room; 0 once it was told of room.
    std::uint32_t demand = 0;
    // The load that it was last told of.
    std::uint64_t told_load = 0;
  };

  AgentCoreSettings settings;
  StartedSet started;
  UpstreamRoom room;
  View view;
  std::optional<AgentDescription> description;
  std::vector<Ballot> promises;
  std::map<EntryId, ConnectedEntry> connected;
  std::set<EntryId> acknowledged;
  // Running tasks that the upstream was told to stop.
  std::set<TaskId> stopping;
  Timestamp current_time;
  Timestamp next_registration;
  Timestamp next_heartbeat;
  // Counts the changes of what runs and waits here.
  std::uint64_t load_number = 1;
  // When this agent sent the last heartbeat that an entry has confirmed.
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
