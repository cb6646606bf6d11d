#include "libraries/entry_core/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace dandelionspur {
namespace {

// The largest share of the service's demand that a group may have to be
// quarantined.
constexpr double kLargestShare = 0.5;

constexpr Duration kFirstRelease = std::chrono::seconds(6);
constexpr Duration kLongestRelease = std::chrono::seconds(80);
// A group that is blamed again within this time after its release has relapsed.
constexpr Duration kRelapseMemory = std::chrono::minutes(5);
constexpr Duration kChoiceInterval = std::chrono::seconds(1);
// The upstreams outside are to have this many times the cores that their jobs
// keep busy.
constexpr double kHeadroom = 1.25;
// The same for a quarantined group, whose upstreams are down for much of the
// time.
constexpr double kHeadroomInQuarantine = 2.5;
constexpr double kPercent = 100;

std::uint64_t RendezvousScore(JobGroupId group,
                              const QuarantineUpstream& upstream) {
  const std::array<std::uint64_t, 2> key{group.value(),
                                         upstream.address_digest};
  return XXH3_64bits(key.data(), sizeof(key));
}

// The upstreams in the order in which the group takes them.
std::vector<QuarantineUpstream> RankedFor(
    JobGroupId group, std::vector<QuarantineUpstream> upstreams) {
  std::sort(
      upstreams.begin(), upstreams.end(),
      [&](const QuarantineUpstream& left, const QuarantineUpstream& right) {
        return RendezvousScore(group, left) > RendezvousScore(group, right);
      });
  return upstreams;
}

double TotalCores(const std::vector<QuarantineUpstream>& upstreams) {
  double total = 0;
  for (const QuarantineUpstream& upstream : upstreams) total += upstream.cores;
  return total;
}

// The upstreams that are set aside for quarantined groups. At least one remains
// for all other groups.
class SetAside {
 public:
  SetAside(std::size_t upstreams, double allowed_cores)
      : maximum_count(upstreams - 1), allowance(allowed_cores) {}

  [[nodiscard]] bool Contains(AgentId agent) const {
    return this->agents.contains(agent);
  }
  [[nodiscard]] bool IsFull() const {
    return this->agents.size() >= this->maximum_count;
  }
  [[nodiscard]] bool HasRoomFor(const QuarantineUpstream& upstream) const {
    if (this->Contains(upstream.agent)) return true;
    return !this->IsFull() && this->cores + upstream.cores <= this->allowance;
  }
  void Add(const QuarantineUpstream& upstream) {
    const bool is_new = this->agents.insert(upstream.agent).second;
    if (is_new) this->cores += upstream.cores;
  }

 private:
  std::set<AgentId> agents;
  std::size_t maximum_count;
  double allowance;
  double cores = 0;
};

bool MayQuarantine(const QuarantineLimits& limits, std::size_t upstreams) {
  return limits.maximum_percent > 0 && upstreams > 1;
}

}  // namespace

std::vector<QuarantineStep> Quarantine::Update(
    const std::vector<QuarantineUpstream>& upstreams, const GroupDemand& demand,
    const QuarantineLimits& limits, Timestamp now) {
  std::vector<QuarantineStep> steps =
      this->Release(limits, upstreams.size(), now);
  std::vector<JobGroupId> begun;
  if (MayQuarantine(limits, upstreams.size())) {
    begun = this->Begin(upstreams.size(), demand, now);
  }
  const bool has_changed = !begun.empty() || !steps.empty();
  if (this->IsActive() && (has_changed || now >= this->next_choice)) {
    this->next_choice = now + kChoiceInterval;
    this->ChooseUpstreams(upstreams, demand, limits);
  }
  this->Observe(upstreams, now);
  for (const JobGroupId group : begun) {
    steps.push_back(StepOf(this->held.at(group), QuarantinePhase::kBegun));
  }
  this->attribution.Expire(now);
  return steps;
}

std::vector<JobGroupId> Quarantine::Begin(std::size_t upstreams,
                                          const GroupDemand& demand,
                                          Timestamp now) {
  std::vector<JobGroupId> begun;
  for (const BlamedGroup& blamed : this->attribution.Blamed(upstreams, now)) {
    if (this->Contains(blamed.group)) continue;
    // A group with most of the demand runs on nearly every upstream, and so
    // also on those that are lost for other causes. Setting it apart would harm
    // more jobs than it protects.
    const double own_demand = demand.CoresOf(blamed.group);
    if (own_demand > demand.TotalCores() * kLargestShare) continue;
    Held& item = this->held[blamed.group];
    item.blame = blamed;
    item.release_after = kFirstRelease;
    const auto former = this->released.find(blamed.group);
    if (former != this->released.end()) {
      item.release_after =
          std::min(2 * former->second.release_after, kLongestRelease);
    }
    begun.push_back(blamed.group);
  }
  return begun;
}

std::vector<QuarantineStep> Quarantine::Release(const QuarantineLimits& limits,
                                                std::size_t upstreams,
                                                Timestamp now) {
  std::erase_if(this->released, [&](const auto& item) {
    return item.second.at + kRelapseMemory < now;
  });
  std::vector<QuarantineStep> steps;
  for (auto& [group, item] : this->held) {
    item.blame.latest =
        std::max(item.blame.latest, this->attribution.LatestLossOf(group));
    const bool is_over = !MayQuarantine(limits, upstreams) ||
                         now >= item.blame.latest + item.release_after;
    if (!is_over) continue;
    this->released[group] = {now, item.release_after};
    steps.push_back(StepOf(item, QuarantinePhase::kReleased));
  }
  for (const QuarantineStep& step : steps) this->held.erase(step.group);
  return steps;
}

double Quarantine::NeededCores(double demanded,
                               const QuarantineLimits& limits) {
  return demanded * limits.homes * limits.stretch;
}

void Quarantine::ChooseUpstreams(
    const std::vector<QuarantineUpstream>& upstreams, const GroupDemand& demand,
    const QuarantineLimits& limits) {
  double others = demand.TotalCores();
  for (auto& [group, item] : this->held) {
    const double demanded = demand.CoresOf(group);
    others -= demanded;
    // Refused jobs are submitted elsewhere, so the demand falls during a
    // quarantine.
    item.needed_cores =
        std::max(item.needed_cores,
                 NeededCores(demanded, limits) * kHeadroomInQuarantine);
  }
  const double total = TotalCores(upstreams);
  SetAside set_aside(
      upstreams.size(),
      std::min(total * limits.maximum_percent / kPercent,
               total - NeededCores(std::max(others, 0.0), limits) * kHeadroom));
  for (auto& [group, item] : this->held) {
    item.upstreams.clear();
    double cores = 0;
    for (const QuarantineUpstream& upstream : RankedFor(group, upstreams)) {
      const bool is_first = item.upstreams.empty();
      if (!is_first && cores >= item.needed_cores) break;
      const bool may_take =
          is_first ? set_aside.Contains(upstream.agent) || !set_aside.IsFull()
                   : set_aside.HasRoomFor(upstream);
      if (!may_take) continue;
      set_aside.Add(upstream);
      item.upstreams.push_back(upstream.agent);
      cores += upstream.cores;
    }
  }
}

void Quarantine::Observe(const std::vector<QuarantineUpstream>& upstreams,
                         Timestamp now) {
  if (!this->IsActive()) {
    this->outages.Forget();
    return;
  }
  std::map<AgentId, const QuarantineUpstream*> by_agent;
  for (const QuarantineUpstream& upstream : upstreams) {
    by_agent[upstream.agent] = &upstream;
  }
  std::set<AgentId> inside;
  for (auto& [group, item] : this->held) {
    item.usable_cores = 0;
    for (const AgentId agent : item.upstreams) {
      inside.insert(agent);
      const auto found = by_agent.find(agent);
      const bool usable = found != by_agent.end() && found->second->usable;
      this->outages.Observe(agent, usable, now);
      if (usable) item.usable_cores += found->second->cores;
    }
  }
  this->outside = 0;
  for (const QuarantineUpstream& upstream : upstreams) {
    const bool counts = upstream.usable && !inside.contains(upstream.agent);
    if (counts) this->outside += upstream.cores;
  }
}

std::vector<JobGroupId> Quarantine::Groups() const {
  std::vector<JobGroupId> groups;
  groups.reserve(this->held.size());
  for (const auto& [group, item] : this->held) groups.push_back(group);
  return groups;
}

Duration Quarantine::UntilUsable(JobGroupId group, Timestamp now) const {
  Duration shortest = Duration::max();
  for (const AgentId agent : this->UpstreamsOf(group)) {
    shortest = std::min(shortest, this->outages.UntilUsable(agent, now));
  }
  return shortest;
}

QuarantineStep Quarantine::StepOf(const Held& item, QuarantinePhase phase) {
  return {phase, item.blame.group, item.blame.losses, item.blame.moments,
          static_cast<std::uint32_t>(item.upstreams.size())};
}

}  // namespace dandelionspur
