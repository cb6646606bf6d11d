#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/entry_core/evacuation/evacuations.h"
#include "libraries/entry_core/evacuation/return_ramp.h"
#include "libraries/entry_core/interference/groups_at_upstream.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// A start that an entry has sent to an agent.
struct SentStart {
  TaskId task;
  StartNumber number;
};

// An entry's record of one agent incarnation.
struct KnownAgent {
  AgentId agent;
  // Absent for an agent that has registered only with other entries.
  std::optional<AgentDescription> description;
  bool connected = false;
  bool ready = false;
  bool leaving = false;
  // No task may be placed here, since the data centre is evacuated.
  bool evacuated = false;
  // When that ended.
  std::optional<Timestamp> returned_at;
  // The agent process has announced that it leaves, which it never takes back.
  bool has_announced_departure = false;
  // It has since reported that no task runs or waits there, so that it takes no
  // action any more.
  bool has_departed = false;
  // Since the last connection; no proof that the agent is dead.
  bool refuses_connections = false;
  // The agent has reported since its latest registration that nothing runs at
  // its address. It starts no task before this entry acknowledges another one.
  bool is_vacant = false;
  // Set once the agent is proven dead or has departed.
  std::optional<Timestamp> lost_at;
  // No task was running there when the agent ended.
  bool ended_idle = false;
  Timestamp last_heard;
  // The agent's newest heartbeat that any entry has reported receiving: when it
  // was sent, by the agent's clock, and the latest time at which that entry can
  // have received it.
  Timestamp newest_heartbeat;
  Timestamp contact_at;
  // Whether this entry has acknowledged the agent on the current connection.
  bool acknowledged = false;
  // Whether the agent reports the epoch of its view with its heartbeats, and
  // when this entry may send it the view again.
  bool reports_epoch = false;
  Timestamp next_view;
  // No heartbeat is answered before this time, which limits the rate of
  // answers.
  Timestamp next_reply;
  // The agent's latest report on this connection.
  AgentLoad load;
  // The agent's latest report on any connection.
  std::optional<AgentLoad> last_load;
  // Starts sent on this connection, and the body of the latest one.
  std::uint64_t starts_sent = 0;
  std::optional<Payload> latest_body;
  // Resource needs of sent starts that `load` does not include yet, oldest
  // first.
  std::deque<Resources> unreported_starts;
  Resources unreported_total;
  // The starts sent on this connection that `load` does not report as confirmed
  // or ended, oldest first.
  std::deque<SentStart> unconfirmed_starts;
  // Whether the agent was last notified that tasks are queued here.
  bool demand_notified = false;
  // Tasks started by this entry that have not completed.
  std::uint32_t running = 0;
  // How many of them are suspected of the loss of an upstream.
  std::uint32_t running_suspects = 0;
  // The groups whose tasks run there.
  GroupsAtUpstream groups;
  // The quarantined groups whose tasks run at this upstream.
  std::vector<JobGroupId> quarantined_groups;
  // After a failed start, no further start is sent before this time.
  Timestamp usable_from;
  std::uint32_t consecutive_failures = 0;
  // Moving average of measured over declared task time.
  double slowness = 1.0;
  bool slowness_known = false;

  [[nodiscard]] bool IsUsable(Timestamp now, Duration suspect_after) const {
    return this->TakesTasks() && now >= this->usable_from &&
           now - this->last_heard <= suspect_after;
  }
  // Whether the agent's upstream is up and takes tasks, as last reported.
  [[nodiscard]] bool TakesTasks() const {
    return this->CountsAsCapacity() && this->load.accepting;
  }
  // Whether the upstream is part of its service's capacity.
  [[nodiscard]] bool CountsAsCapacity() const {
    return this->connected && this->ready && !this->leaving &&
           !this->evacuated && !this->lost_at;
  }
  // Records that an entry received the agent's heartbeat at `at` or earlier.
  // `heartbeat` is the agent's time of sending.
  void NoteHeartbeat(Timestamp heartbeat, Timestamp at) {
    // Other entries may report a heartbeat that is already recorded.
    if (heartbeat <= this->newest_heartbeat) return;
    this->newest_heartbeat = heartbeat;
    this->contact_at = std::max(this->contact_at, at);
  }
  // Whether the agent's free capacity allows a task to start at once.
  [[nodiscard]] bool HasCapacityFor(const Resources& need) const {
    return (this->Taken() + need).FitsIn(this->load.capacity);
  }
  // Whether a task may start so soon after the end of an evacuation.
  [[nodiscard]] bool RampAllows(const Resources& need, Timestamp now) const {
    return !this->returned_at ||
           ReturnRamp::Allows(now - *this->returned_at, this->Taken(), need,
                              this->load.capacity);
  }
  // The resources of the tasks that run at the agent, wait there or were sent
  // and aren't reported yet.
  [[nodiscard]] Resources Taken() const {
    return this->load.running + this->load.waiting + this->unreported_total;
  }
  // Records that a start was sent to the agent.
  void NoteStartSent(const SentStart& start, const Resources& need);
  // Removes and returns the starts that `load` reports as confirmed or ended.
  std::vector<SentStart> TakeConfirmedStarts();
  // Leaves out the body of a start that is about to be sent, if the agent has
  // received it with the preceding start.
  void OmitRepeatedBody(Start& start);
  void NoteLoad(const AgentLoad& reported);
  // Clears what was sent and reported on the previous connection.
  void ResetSentStarts();
};

// All agents that any entry of the view may use, and those lost within the
// duplicate window.
class AgentRegistry {
 public:
  KnownAgent& Add(AgentId agent);
  [[nodiscard]] KnownAgent* Find(AgentId agent);
  [[nodiscard]] const KnownAgent* Find(AgentId agent) const;
  // Records a registration. Returns the older incarnations at the same address,
  // which the registration proves dead; none for one of an incarnation that has
  // ended, which was read late.
  std::vector<AgentId> Register(const AgentDescription& description);
  // Marks the agent as lost; `idle` says that certainly no task was running
  // there.
  void MarkLost(AgentId agent, bool idle, Timestamp now);
  // Counts no time for silence in which this process handled no events:
  // messages may have arrived meanwhile.
  void ExcuseSilence(Duration away, Timestamp now) {
    if (away == Duration()) return;
    for (auto& [id, known] : this->agents) {
      known.last_heard = std::min(now, known.last_heard + away);
    }
  }
  // Removes agents lost before `horizon`.
  void Expire(Timestamp horizon);
  [[nodiscard]] std::vector<AgentSummary> Summaries() const;
  [[nodiscard]] std::vector<AgentId> Connected() const;
  [[nodiscard]] const std::map<AgentId, KnownAgent>& all() const {
    return this->agents;
  }
  [[nodiscard]] const std::vector<KnownAgent*>& OfService(
      const ServiceName& service);
  // Total capacity of the service's agents that are connected, ready and
  // neither leaving nor evacuated, as of the last call of RecountCapacity.
  [[nodiscard]] Resources CapacityOf(const ServiceName& service) const;
  // Processor cores in CapacityOf; at least one, as it serves as a divisor.
  [[nodiscard]] std::int64_t CoresOf(const ServiceName& service) const;
  // Whether an upstream of the service can hold a task with this need once
  // nothing else runs there. An upstream that is disconnected may return with
  // its capacity. Any need counts as possible while no connected upstream has
  // capacity, or the upstream of some agent is unknown.
  [[nodiscard]] bool MayEverHold(const ServiceName& service,
                                 const Resources& need) const;
  // Whether the service has upstreams, but all that are there are evacuated and
  // none that isn't may return.
  [[nodiscard]] bool IsEvacuated(const ServiceName& service) const;
  // The number of agents in the data centre that aren't lost.
  [[nodiscard]] std::size_t CountIn(const DataCentreName& data_centre) const;
  // Marks the agents of evacuated data centres, and recounts the capacity.
  void MarkEvacuated(const Evacuations& evacuations, Timestamp now);
  // Must be called whenever an agent connects, disconnects or changes state.
  void RecountCapacity();

 private:
  // Ordered, so that decisions that iterate over it are deterministic.
  std::map<AgentId, KnownAgent> agents;
  struct ServiceAgents {
    // Point into AgentRegistry::agents, whose items have stable addresses.
    std::vector<KnownAgent*> agents;
    Resources capacity;
  };
  std::map<ServiceName, ServiceAgents> services;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_
