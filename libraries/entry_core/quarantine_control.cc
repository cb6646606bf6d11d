#include "libraries/entry_core/quarantine_control.h"

#include <xxhash.h>

#include <map>
#include <string>

namespace dandelionspur {
namespace {

// An upstream whose agent was lost keeps its place for this long, so that it is
// not replaced while its agent restarts.
constexpr Duration kKeptAfterLoss = std::chrono::seconds(10);

std::uint64_t DigestOf(const Endpoint& endpoint) {
  const std::string text = EndpointText(endpoint);
  return XXH3_64bits(text.data(), text.size());
}

double CoresOf(const Resources& capacity) {
  return static_cast<double>(capacity.millicores) /
         static_cast<double>(kMillicoresPerCore);
}

}  // namespace

void QuarantineControl::OnRecentLosses(AgentId from,
                                       const std::vector<RecentLoss>& reported,
                                       Timestamp now) {
  if (reported.empty()) return;
  const KnownAgent* agent = this->agents.Find(from);
  if (agent == nullptr || !agent->description) return;
  ServiceState* service = this->queues.Find(agent->description->service);
  if (service == nullptr) return;
  if (!service->quarantine().Record(from, reported, now)) return;
  service->demand().Advance(now);
  this->Update(*service, now);
}

void QuarantineControl::Tick(Timestamp now) {
  for (auto& [name, service] : this->queues.all()) {
    service.demand().Advance(now);
    const bool may_change = service.quarantine().IsActive() ||
                            service.quarantine().HasRecentLosses();
    if (may_change) this->Update(service, now);
  }
}

void QuarantineControl::Update(ServiceState& service, Timestamp now) {
  const std::set<JobGroupId> changed = this->UpdateGroups(service, now);
  if (!changed.empty()) this->Requeue(service.document().service, changed);
  this->early_refusals.RefuseUnservableInQuarantine(service, now);
}

void QuarantineControl::Requeue(const ServiceName& service,
                                const std::set<JobGroupId>& groups) {
  const std::vector<JobKey> concerned =
      this->jobs.KeysOf([&](const HomeJob& job) {
        return job.is_queued && groups.contains(job.submission.group) &&
               job.submission.service == service;
      });
  for (const JobKey& key : concerned) {
    this->queues.Reposition(this->jobs.At(key));
  }
}

std::set<JobGroupId> QuarantineControl::UpdateGroups(ServiceState& service,
                                                     Timestamp now) {
  const ServiceDocument& document = service.document();
  QuarantineLimits limits;
  limits.maximum_percent = document.maximum_quarantined_percent;
  limits.homes =
      static_cast<std::uint32_t>(this->ownership.view().members.size());
  limits.stretch = service.declared_error();
  std::set<JobGroupId> changed;
  for (const QuarantineStep& step :
       service.quarantine().Update(this->Upstreams(document.service, now),
                                   service.demand(), limits, now)) {
    changed.insert(step.group);
    this->outbox.Add(QuarantineChanged{step.phase, document.service, step.group,
                                       step.losses, step.moments,
                                       step.upstreams});
  }
  const bool may_be_marked =
      service.quarantine().IsActive() || !changed.empty();
  if (may_be_marked) this->MarkAgents(service);
  return changed;
}

std::vector<QuarantineUpstream> QuarantineControl::Upstreams(
    const ServiceName& service, Timestamp now) {
  std::map<Endpoint, const KnownAgent*> newest;
  for (const KnownAgent* agent : this->agents.OfService(service)) {
    const bool is_gone =
        agent->leaving || agent->evacuated ||
        (agent->lost_at && *agent->lost_at + kKeptAfterLoss < now);
    if (is_gone) continue;
    const KnownAgent*& known = newest[agent->description->admin_endpoint];
    const bool is_newer = known == nullptr || known->lost_at;
    if (is_newer) known = agent;
  }
  std::vector<QuarantineUpstream> upstreams;
  upstreams.reserve(newest.size());
  for (const auto& [endpoint, agent] : newest) {
    upstreams.push_back({agent->agent, DigestOf(endpoint),
                         CoresOf(agent->description->capacity),
                         agent->TakesTasks()});
  }
  return upstreams;
}

void QuarantineControl::MarkAgents(const ServiceState& service) {
  for (KnownAgent* agent : this->agents.OfService(service.document().service)) {
    agent->quarantined_groups.clear();
  }
  const Quarantine& quarantine = service.quarantine();
  for (const JobGroupId group : quarantine.Groups()) {
    for (const AgentId id : quarantine.UpstreamsOf(group)) {
      KnownAgent* agent = this->agents.Find(id);
      if (agent != nullptr) agent->quarantined_groups.push_back(group);
    }
  }
}

}  // namespace dandelionspur
