#include "libraries/entry_core/agent_registry.h"

#include <algorithm>

namespace dandelionspur {

KnownAgent& AgentRegistry::Add(AgentId agent) {
  KnownAgent& known = this->agents[agent];
  known.agent = agent;
  return known;
}

KnownAgent* AgentRegistry::Find(AgentId agent) {
  const auto found = this->agents.find(agent);
  return found == this->agents.end() ? nullptr : &found->second;
}

const KnownAgent* AgentRegistry::Find(AgentId agent) const {
  const auto found = this->agents.find(agent);
  return found == this->agents.end() ? nullptr : &found->second;
}

std::vector<AgentId> AgentRegistry::Register(
    const AgentDescription& description) {
  KnownAgent& known = this->Add(description.agent);
  if (!known.description) {
    this->services[description.service].agents.push_back(&known);
  }
  known.description = description;
  std::vector<AgentId> replaced;
  for (const auto& [id, other] : this->agents) {
    const bool same_address =
        other.description && id != description.agent &&
        other.description->admin_endpoint == description.admin_endpoint;
    if (same_address && !other.lost_at) replaced.push_back(id);
  }
  return replaced;
}

void AgentRegistry::MarkLost(AgentId agent, Timestamp now) {
  KnownAgent& known = this->Add(agent);
  if (!known.lost_at) known.lost_at = now;
  known.connected = false;
  known.ready = false;
  known.credits = 0;
}

void AgentRegistry::Expire(Timestamp horizon) {
  std::erase_if(this->agents, [&](auto& item) {
    const KnownAgent& known = item.second;
    if (!known.lost_at || *known.lost_at >= horizon) return false;
    if (known.description) {
      std::erase(this->services[known.description->service].agents,
                 &item.second);
    }
    return true;
  });
}

std::vector<AgentSummary> AgentRegistry::Summaries() const {
  std::vector<AgentSummary> summaries;
  summaries.reserve(this->agents.size());
  for (const auto& [id, known] : this->agents) {
    summaries.push_back({id, known.lost_at});
  }
  return summaries;
}

const std::vector<KnownAgent*>& AgentRegistry::OfService(
    const ServiceName& service) {
  return this->services[service].agents;
}

std::uint32_t AgentRegistry::SlotsOf(const ServiceName& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.slots;
}

void AgentRegistry::RecountSlots() {
  for (auto& [name, service] : this->services) {
    service.slots = 0;
    for (const KnownAgent* known : service.agents) {
      if (known->connected && known->ready && !known->leaving) {
        service.slots += known->description->slots;
      }
    }
  }
}

}  // namespace dandelionspur
