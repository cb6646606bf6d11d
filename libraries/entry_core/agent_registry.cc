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
    this->services[description.service].push_back(description.agent);
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
  std::erase_if(this->agents, [&](const auto& item) {
    const KnownAgent& known = item.second;
    if (!known.lost_at || *known.lost_at >= horizon) return false;
    if (known.description) {
      std::erase(this->services[known.description->service], known.agent);
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

std::vector<KnownAgent*> AgentRegistry::OfService(const ServiceName& service) {
  std::vector<KnownAgent*> result;
  const auto found = this->services.find(service);
  if (found == this->services.end()) return result;
  result.reserve(found->second.size());
  for (const AgentId agent : found->second) {
    result.push_back(this->Find(agent));
  }
  return result;
}

std::uint32_t AgentRegistry::SlotsOf(const ServiceName& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return 0;
  std::uint32_t slots = 0;
  for (const AgentId agent : found->second) {
    const KnownAgent* known = this->Find(agent);
    if (known->connected && known->ready && !known->leaving) {
      slots += known->description->slots;
    }
  }
  return slots;
}

}  // namespace dandelionspur
