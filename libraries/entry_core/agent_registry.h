#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// What an entry knows of one agent incarnation.
struct KnownAgent {
  AgentId agent;
  // Missing for an agent that only other entries have heard from.
  std::optional<AgentDescription> description;
  bool connected = false;
  bool ready = false;
  bool leaving = false;
  // Set once the agent is proven dead.
  std::optional<Timestamp> lost_at;
  // Nothing ran there when it ended.
  bool ended_idle = false;
  Timestamp last_heard;
  // The newest of its heartbeats that any entry has had, as far as is known:
  // by its clock, and the latest time at which that entry had it.
  Timestamp newest_heartbeat;
  Timestamp contact_at;
  // No heartbeat is answered before this time, as one came just before.
  Timestamp next_reply;
  // As the agent last told.
  AgentLoad load;
  // The same, kept when the connection ends.
  std::optional<AgentLoad> last_load;
  // Starts sent on this connection.
  std::uint64_t starts_sent = 0;
  // What the starts need that `load` does not count yet, oldest first.
  std::deque<Resources> unseen;
  Resources unseen_total;
  // The agent has been told of tasks queued here.
  bool demand_told = false;
  // Starts of this entry that have not ended.
  std::uint32_t running = 0;
  // No start before this time, after a failed one.
  Timestamp usable_from;
  std::uint32_t consecutive_failures = 0;
  // Moving average of measured over declared task time.
  double slowness = 1.0;
  bool slowness_known = false;

  [[nodiscard]] bool IsUsable(Timestamp now, Duration suspect_after) const {
    return this->connected && this->ready && !this->leaving && !this->lost_at &&
           this->load.accepting && now >= this->usable_from &&
           now - this->last_heard <= suspect_after;
  }
  // A heartbeat of it came to some entry at `at` or before.
  void NoteHeartbeat(Timestamp heartbeat, Timestamp at) {
    // One that is known already may come round again by way of others.
    if (heartbeat <= this->newest_heartbeat) return;
    this->newest_heartbeat = heartbeat;
    this->contact_at = std::max(this->contact_at, at);
  }
  // Whether a task can be expected to start there at once.
  [[nodiscard]] bool HasRoomFor(const Resources& need) const {
    const Resources taken =
        this->load.running + this->load.waiting + this->unseen_total;
    return (taken + need).FitsIn(this->load.capacity);
  }
  // Whether, a moment ago, nothing ran there and it took no tasks.
  [[nodiscard]] bool WasIdleAndClosed(Timestamp now) const;
  // A start was sent to the agent.
  void NoteSent(const Resources& need);
  void NoteLoad(const AgentLoad& told);
  // The connection is new: nothing was sent on it.
  void ForgetSent();
};

// All agents that any entry of the view may use, and those lost within the
// duplicate window.
class AgentRegistry {
 public:
  KnownAgent& Add(AgentId agent);
  [[nodiscard]] KnownAgent* Find(AgentId agent);
  [[nodiscard]] const KnownAgent* Find(AgentId agent) const;
  // Takes in a registration; returns the older incarnations at the same
  // address, which are thereby proven dead.
  std::vector<AgentId> Register(const AgentDescription& description);
  // `idle`: it is known that nothing ran there.
  void MarkLost(AgentId agent, bool idle, Timestamp now);
  // Silence during a pause of this process says nothing about the agents.
  void RestartSuspicionTimers(Timestamp now) {
    for (auto& [id, known] : this->agents) known.last_heard = now;
  }
  // Forgets agents lost before `horizon`.
  void Expire(Timestamp horizon);
  [[nodiscard]] std::vector<AgentSummary> Summaries() const;
  [[nodiscard]] const std::map<AgentId, KnownAgent>& all() const {
    return this->agents;
  }
  [[nodiscard]] const std::vector<KnownAgent*>& OfService(
      const ServiceName& service);
  // Room of the service's agents that are connected and not leaving, as of
  // the last call of RecountCapacity.
  [[nodiscard]] Resources CapacityOf(const ServiceName& service) const;
  // Their processor cores, at least one, for dividing work by.
  [[nodiscard]] std::int64_t CoresOf(const ServiceName& service) const;
  // Call whenever an agent comes, goes or changes its state.
  void RecountCapacity();

 private:
  // Ordered, so that every decision that walks it is repeatable.
  std::map<AgentId, KnownAgent> agents;
  struct ServiceAgents {
    // Into `agents`, whose items never move.
    std::vector<KnownAgent*> agents;
    Resources capacity;
  };
  std::map<ServiceName, ServiceAgents> services;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_
