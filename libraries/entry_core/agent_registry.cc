#include "libraries/entry_core/agent_registry.h"

#include <algorithm>

namespace dandelionspur {
namespace {

constexpr double kPercent = 100;

}  // namespace

void KnownAgent::NoteStartSent(const SentStart& start, const Resources& need) {
  ++this->starts_sent;
  this->unconfirmed_starts.push_back(start);
  this->unreported_starts.push_back(need);
  this->unreported_total += need;
}

std::vector<SentStart> KnownAgent::TakeConfirmedStarts() {
  const std::uint64_t seen = this->load.starts_seen;
  const bool is_reported =
      this->load.starts_unconfirmed && seen <= this->starts_sent;
  if (!is_reported) return {};
  const std::uint64_t unconfirmed =
      this->starts_sent - seen + *this->load.starts_unconfirmed;
  std::vector<SentStart> confirmed;
  while (this->unconfirmed_starts.size() > unconfirmed) {
    confirmed.push_back(this->unconfirmed_starts.front());
    this->unconfirmed_starts.pop_front();
  }
  return confirmed;
}

void KnownAgent::OmitRepeatedBody(Start& start) {
  const Payload body = start.request.body;
  const bool is_known = this->reports_epoch && this->latest_body == body;
  this->latest_body = body;
  if (!is_known || body.size() == 0) return;
  start.repeated_body = body.digest();
  start.request.body = Payload();
}

void KnownAgent::NoteLoad(const AgentLoad& reported) {
  const bool was_measured = this->load.performance.slowness_percent > 0;
  this->load = reported;
  this->last_load = reported;
  const bool is_measured = reported.performance.slowness_percent > 0;
  if (is_measured || was_measured) {
    this->slowness =
        is_measured ? reported.performance.slowness_percent / kPercent : 1.0;
    this->slowness_known = is_measured;
  }
  const bool is_idle =
      reported.running == Resources() && reported.waiting == Resources();
  this->has_departed = this->has_announced_departure && is_idle;
  const std::uint64_t seen = std::min(reported.starts_seen, this->starts_sent);
  while (this->unreported_starts.size() > this->starts_sent - seen) {
    this->unreported_total =
        Without(this->unreported_total, this->unreported_starts.front());
    this->unreported_starts.pop_front();
  }
}

void KnownAgent::ResetSentStarts() {
  this->load = AgentLoad();
  this->groups.NoteReported({});
  this->starts_sent = 0;
  this->latest_body.reset();
  this->unreported_starts.clear();
  this->unreported_total = Resources();
  this->unconfirmed_starts.clear();
}

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
  // What a process that has ended sent before may be read late.
  if (known.lost_at) return {};
  const bool moved =
      known.description && known.description->service != description.service;
  if (moved) {
    std::erase(this->services[known.description->service].agents, &known);
  }
  if (!known.description || moved) {
    this->services[description.service].agents.push_back(&known);
  }
  known.description = description;
  known.is_vacant = false;
  std::vector<AgentId> replaced;
  for (const auto& [id, other] : this->agents) {
    const bool same_address =
        other.description && id != description.agent &&
        other.description->admin_endpoint == description.admin_endpoint;
    // Ids rise with the time, unless the clock was set back; then the one that
    // has ended is not connected.
    const bool is_successor = id > description.agent && other.connected;
    if (same_address && !other.lost_at && !is_successor) replaced.push_back(id);
  }
  return replaced;
}

void AgentRegistry::MarkLost(AgentId agent, bool idle, Timestamp now) {
  KnownAgent& known = this->Add(agent);
  known.ended_idle = known.ended_idle || idle;
  if (!known.lost_at) known.lost_at = now;
  known.connected = false;
  known.ready = false;
  known.ResetSentStarts();
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

std::vector<AgentId> AgentRegistry::Connected() const {
  std::vector<AgentId> connected;
  for (const auto& [id, known] : this->agents) {
    if (known.connected) connected.push_back(id);
  }
  return connected;
}

std::vector<AgentSummary> AgentRegistry::Summaries() const {
  std::vector<AgentSummary> summaries;
  summaries.reserve(this->agents.size());
  for (const auto& [id, known] : this->agents) {
    // It has to register with the receiver before it starts a task.
    if (known.is_vacant) continue;
    summaries.push_back({id, known.lost_at, known.ended_idle});
  }
  return summaries;
}

const std::vector<KnownAgent*>& AgentRegistry::OfService(
    const ServiceName& service) {
  return this->services[service].agents;
}

Resources AgentRegistry::CapacityOf(const ServiceName& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? Resources() : found->second.capacity;
}

std::int64_t AgentRegistry::CoresOf(const ServiceName& service) const {
  const std::uint64_t millicores = this->CapacityOf(service).millicores;
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(millicores / kMillicoresPerCore));
}

bool AgentRegistry::MayEverHold(const ServiceName& service,
                                const Resources& need) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return true;
  bool any_present = false;
  for (const KnownAgent* known : found->second.agents) {
    if (known->lost_at || known->leaving || known->evacuated) continue;
    if (need.FitsIn(known->description->capacity)) return true;
    const bool is_present = known->connected && known->ready &&
                            known->description->capacity.millicores > 0;
    any_present = any_present || is_present;
  }
  if (!any_present) return true;
  // Agents that have registered only with other entries so far.
  return std::any_of(this->agents.begin(), this->agents.end(),
                     [](const auto& item) {
                       return !item.second.description && !item.second.lost_at;
                     });
}

bool AgentRegistry::IsEvacuated(const ServiceName& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  bool any_evacuated = false;
  for (const KnownAgent* known : found->second.agents) {
    if (known->lost_at || known->leaving) continue;
    if (!known->evacuated) return false;
    any_evacuated = true;
  }
  return any_evacuated;
}

std::size_t AgentRegistry::CountIn(const DataCentreName& data_centre) const {
  const auto counted = std::count_if(
      this->agents.begin(), this->agents.end(), [&](const auto& item) {
        const KnownAgent& known = item.second;
        return known.description && !known.lost_at &&
               known.description->data_centre == data_centre;
      });
  return static_cast<std::size_t>(counted);
}

void AgentRegistry::MarkEvacuated(const Evacuations& evacuations,
                                  Timestamp now) {
  for (auto& [id, known] : this->agents) {
    if (!known.description) continue;
    const bool was_evacuated = known.evacuated;
    known.evacuated = evacuations.IsEvacuated(known.description->data_centre);
    if (known.evacuated) {
      known.returned_at.reset();
    } else if (was_evacuated) {
      known.returned_at = now;
    }
  }
  this->RecountCapacity();
}

void AgentRegistry::RecountCapacity() {
  for (auto& [name, service] : this->services) {
    service.capacity = Resources();
    for (const KnownAgent* known : service.agents) {
      if (known->CountsAsCapacity()) {
        service.capacity += known->description->capacity;
      }
    }
  }
}

}  // namespace dandelionspur
