#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_

#include <cstdint>
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
  Timestamp last_heard;
  // Starts that the agent will take from this entry.
  std::uint32_t credits = 0;
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
           now >= this->usable_from && now - this->last_heard <= suspect_after;
  }
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
  void MarkLost(AgentId agent, Timestamp now);
  // Silence during a pause of this process says nothing about the agents.
  void ForgiveSilence(Timestamp now) {
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
  // Slots of the service's agents that are connected and not leaving, as of
  // the last call of RecountSlots.
  [[nodiscard]] std::uint32_t SlotsOf(const ServiceName& service) const;
  // Call whenever an agent comes, goes or changes its state.
  void RecountSlots();

 private:
  // Ordered, so that every decision that walks it is repeatable.
  std::map<AgentId, KnownAgent> agents;
  struct ServiceAgents {
    // Into `agents`, whose items never move.
    std::vector<KnownAgent*> agents;
    std::uint32_t slots = 0;
  };
  std::map<ServiceName, ServiceAgents> services;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_AGENT_REGISTRY_H_
