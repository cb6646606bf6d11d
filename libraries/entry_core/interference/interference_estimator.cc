#include "libraries/entry_core/interference/interference_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace dandelionspur {
namespace {

constexpr Duration kUpdateInterval = std::chrono::milliseconds(500);
// The least slowdown that counts as harm, and that keeps a suspicion, as
// logarithms: 20% and 10%.
constexpr double kHarm = 0.182;
constexpr double kRemainingHarm = 0.095;
// In standard errors. Many pairs are judged, so that one in a thousand would be
// taken for harm by chance at three.
constexpr double kSignificance = 4.5;
constexpr double kRemainingSignificance = 2;
// Weights in jobs.
constexpr double kJobsToSuspect = 8;
constexpr double kJobsToKeep = 2;
constexpr double kNegligibleWeight = 0.25;
// One or two upstreams may be slow for their own reasons.
constexpr int kUpstreamsToSuspect = 3;
// A task that ran far longer was stopped for a while, or its declared time
// means nothing.
constexpr double kMaximumRatio = 50;

std::uint64_t BitOf(AgentId upstream) {
  constexpr std::uint64_t kOddMultiplier = 0x9E3779B97F4A7C15ULL;
  constexpr int kShiftToSixBits = 58;
  return 1ULL << ((upstream.value() * kOddMultiplier) >> kShiftToSixBits);
}

bool IsAmong(const std::vector<JobGroupId>& groups, JobGroupId group) {
  return std::find(groups.begin(), groups.end(), group) != groups.end();
}

}  // namespace

void AvoidedGroups::AddAllBut(std::vector<JobGroupId> groups_to_exempt) {
  this->has_all = true;
  this->exempt = std::move(groups_to_exempt);
}

bool AvoidedGroups::Contains(JobGroupId group) const {
  if (IsAmong(this->groups, group)) return true;
  return this->has_all && !IsAmong(this->exempt, group);
}

void InterferenceEstimator::Observe(const ObservedTask& task, Timestamp now) {
  const bool is_usable = task.group != JobGroupId() &&
                         task.declared > Duration() &&
                         task.elapsed > Duration();
  if (!is_usable) return;
  const double ratio = static_cast<double>(task.elapsed.count()) /
                       static_cast<double>(task.declared.count());
  const double logarithm =
      std::log(std::clamp(ratio, 1 / kMaximumRatio, kMaximumRatio));
  // Tasks on either side of a suspicion don't train the upstream's estimate, so
  // that harm isn't taken for the upstream's own slowness.
  const AvoidedGroups avoided = this->ToAvoid(task.group);
  const bool is_disturbed = std::any_of(
      task.neighbours.begin(), task.neighbours.end(),
      [&](JobGroupId neighbour) { return avoided.Contains(neighbour); });
  const double unexplained = this->model.Learn(
      task.group, task.upstream, logarithm,
      is_disturbed ? UpstreamTraining::kKeeps : UpstreamTraining::kTrains, now);
  const std::size_t band = LoadBandOf(task.used_share);
  const double weight =
      1 / static_cast<double>(std::max<std::size_t>(1, task.tasks_of_job));
  this->totals[JobGroupId()].Add(band, unexplained, weight, now);
  const bool has_room =
      this->totals.size() < kMaximumPairs || this->totals.contains(task.group);
  if (!has_room) return;
  this->totals[task.group].Add(band, unexplained, weight, now);
  for (const JobGroupId neighbour : task.neighbours) {
    this->Record({task.group, neighbour}, task, unexplained, now);
    this->Record({JobGroupId(), neighbour}, task, unexplained, now);
  }
}

void InterferenceEstimator::Record(const Pair& pair, const ObservedTask& task,
                                   double unexplained, Timestamp now) {
  auto known = this->pairs.find(pair);
  if (known == this->pairs.end()) {
    if (this->pairs.size() >= kMaximumPairs) return;
    known = this->pairs.emplace(pair, Evidence()).first;
  }
  const double weight =
      1 / static_cast<double>(std::max<std::size_t>(1, task.tasks_of_job));
  known->second.sample.Add(LoadBandOf(task.used_share), unexplained, weight,
                           now);
  known->second.upstreams |= BitOf(task.upstream);
}

std::vector<SuspicionStep> InterferenceEstimator::Update(Timestamp now) {
  if (this->pairs.empty() || now < this->next_update) return {};
  this->next_update = now + kUpdateInterval;
  for (auto& [group, total] : this->totals) total.Decay(now);
  std::vector<Suspicion> found;
  for (auto& [pair, evidence] : this->pairs) {
    evidence.sample.Decay(now);
    const auto total = this->totals.find(pair.victim);
    if (total == this->totals.end()) continue;
    const Contrast contrast = Contrast::Between(evidence.sample, total->second);
    evidence.is_harmless = contrast.weight >= kJobsToSuspect &&
                           contrast.difference < kRemainingHarm;
    const Suspicion* was = Find(this->held, pair);
    if (!this->Supports(contrast, evidence, was)) continue;
    found.push_back({pair.victim, pair.neighbour, std::exp(contrast.difference),
                     contrast.Significance(), contrast.weight,
                     was == nullptr ? now : was->since});
  }
  std::sort(found.begin(), found.end(),
            [](const Suspicion& first, const Suspicion& second) {
              return first.significance > second.significance;
            });
  if (found.size() > kMaximumSuspicions) found.resize(kMaximumSuspicions);
  std::swap(this->held, found);
  this->RemoveLightest();
  this->model.Expire(now);
  return this->StepsFrom(found);
}

std::vector<SuspicionStep> InterferenceEstimator::StepsFrom(
    const std::vector<Suspicion>& former) const {
  std::vector<SuspicionStep> steps;
  for (const Suspicion& now_held : this->held) {
    const Pair pair{now_held.victim, now_held.neighbour};
    if (Find(former, pair) != nullptr) continue;
    steps.push_back({SuspicionPhase::kBegun, now_held});
  }
  for (const Suspicion& was : former) {
    if (Find(this->held, {was.victim, was.neighbour}) != nullptr) continue;
    steps.push_back({SuspicionPhase::kEnded, was});
  }
  return steps;
}

bool InterferenceEstimator::Supports(const Contrast& contrast,
                                     const Evidence& evidence,
                                     const Suspicion* was) {
  if (was != nullptr) {
    return contrast.weight >= kJobsToKeep &&
           contrast.difference >= kRemainingHarm &&
           contrast.Significance() >= kRemainingSignificance;
  }
  return contrast.weight >= kJobsToSuspect && contrast.difference >= kHarm &&
         contrast.Significance() >= kSignificance &&
         std::popcount(evidence.upstreams) >= kUpstreamsToSuspect;
}

void InterferenceEstimator::RemoveLightest() {
  std::erase_if(this->pairs, [](const auto& item) {
    return item.second.sample.Weight() < kNegligibleWeight;
  });
  std::erase_if(this->totals, [](const auto& item) {
    return item.second.Weight() < kNegligibleWeight;
  });
  if (this->pairs.size() < kMaximumPairs) return;
  std::vector<double> weights;
  weights.reserve(this->pairs.size());
  for (const auto& [pair, evidence] : this->pairs) {
    weights.push_back(evidence.sample.Weight());
  }
  const auto median =
      weights.begin() + static_cast<std::ptrdiff_t>(weights.size() / 2);
  std::nth_element(weights.begin(), median, weights.end());
  const double lighter_half = *median;
  std::size_t removable = this->pairs.size() / 2;
  std::erase_if(this->pairs, [&](const auto& item) {
    const bool is_removed = removable > 0 &&
                            item.second.sample.Weight() <= lighter_half &&
                            Find(this->held, item.first) == nullptr;
    if (is_removed) --removable;
    return is_removed;
  });
}

void InterferenceEstimator::Clear() { *this = InterferenceEstimator(); }

const Suspicion* InterferenceEstimator::Find(
    const std::vector<Suspicion>& suspicions, const Pair& pair) {
  const auto found = std::find_if(
      suspicions.begin(), suspicions.end(), [&](const Suspicion& suspicion) {
        return suspicion.victim == pair.victim &&
               suspicion.neighbour == pair.neighbour;
      });
  return found == suspicions.end() ? nullptr : &*found;
}

bool InterferenceEstimator::IsHarmless(const Pair& pair) const {
  const auto found = this->pairs.find(pair);
  return found != this->pairs.end() && found->second.is_harmless;
}

std::vector<JobGroupId> InterferenceEstimator::Unharmed(
    JobGroupId neighbour) const {
  std::vector<JobGroupId> unharmed;
  for (const auto& [pair, evidence] : this->pairs) {
    if (pair.neighbour != neighbour || !evidence.is_harmless) continue;
    unharmed.push_back(pair.victim);
  }
  return unharmed;
}

AvoidedGroups InterferenceEstimator::ToAvoid(JobGroupId group) const {
  AvoidedGroups avoided;
  for (const Suspicion& suspicion : this->held) {
    if (!suspicion.ConcernsAll()) {
      if (suspicion.victim == group) avoided.Add(suspicion.neighbour);
      if (suspicion.neighbour == group) avoided.Add(suspicion.victim);
      continue;
    }
    if (suspicion.neighbour == group) {
      std::vector<JobGroupId> exempt = this->Unharmed(group);
      exempt.push_back(group);
      avoided.AddAllBut(std::move(exempt));
    } else if (!this->IsHarmless({group, suspicion.neighbour})) {
      avoided.Add(suspicion.neighbour);
    }
  }
  return avoided;
}

}  // namespace dandelionspur
