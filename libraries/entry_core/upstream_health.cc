#include "libraries/entry_core/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace dandelionspur {
namespace {

constexpr std::uint32_t kFailuresBeforeProbation = 3;
constexpr Duration kFirstProbation = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaximumProbationDoublings = 6;
constexpr Duration kFullPause = std::chrono::milliseconds(50);
constexpr double kSpeedAverageWeight = 0.2;
constexpr double kMaximumSlowness = 50;
constexpr std::uint32_t kPercent = 100;

Duration ProbationTime(std::uint32_t failures) {
  const std::uint32_t beyond = failures < kFailuresBeforeProbation
                                   ? 0
                                   : failures - kFailuresBeforeProbation;
  return kFirstProbation * (1U << std::min(beyond, kMaximumProbationDoublings));
}

}  // namespace

bool UpstreamHealth::MayTakeTask(const KnownAgent& agent, const Resources& need,
                                 Timestamp now) const {
  if (!this->MayTakeTasks(agent, now)) return false;
  if (!agent.HasCapacityFor(need)) return false;
  if (!agent.RampAllows(need, now)) return false;
  return !this->IsOnProbation(agent) || agent.running == 0;
}

bool UpstreamHealth::IsOnProbation(const KnownAgent& agent) const {
  return agent.consecutive_failures >= kFailuresBeforeProbation;
}

void UpstreamHealth::ObserveSuccess(KnownAgent& agent, ServiceState& service,
                                    Duration declared, Duration elapsed) const {
  agent.consecutive_failures = 0;
  service.ObserveTask(declared, elapsed);
  if (declared <= Duration() || elapsed <= Duration()) return;
  // The agent measures it over the tasks of all entries.
  if (agent.load.performance.slowness_percent > 0) return;
  const double ratio =
      std::min(kMaximumSlowness, static_cast<double>(elapsed.count()) /
                                     static_cast<double>(declared.count()));
  // Geometric average, since declared times are wrong by a factor rather than
  // by an offset.
  const double logarithm = std::log(std::max(ratio, 1.0 / kMaximumSlowness));
  if (!agent.slowness_known) {
    agent.slowness_known = true;
    agent.slowness = std::exp(logarithm);
    return;
  }
  const double average = std::log(agent.slowness);
  agent.slowness =
      std::exp(average + kSpeedAverageWeight * (logarithm - average));
}

void UpstreamHealth::ObserveFailure(KnownAgent& agent,
                                    const ServiceState& service,
                                    Timestamp now) const {
  ++agent.consecutive_failures;
  if (!this->IsOnProbation(agent)) return;
  if (!this->MayEjectAnother(agent, service)) {
    agent.consecutive_failures = kFailuresBeforeProbation - 1;
    return;
  }
  agent.usable_from = now + ProbationTime(agent.consecutive_failures);
}

void UpstreamHealth::ObserveUnreachable(KnownAgent& agent,
                                        Timestamp now) const {
  ++agent.consecutive_failures;
  agent.usable_from = now + ProbationTime(agent.consecutive_failures);
}

void UpstreamHealth::ObserveFull(KnownAgent& agent, const Resources& need,
                                 Timestamp now) const {
  if (!agent.HasCapacityFor(need)) return;
  agent.usable_from = std::max(agent.usable_from, now + kFullPause);
}

bool UpstreamHealth::MayEjectAnother(const KnownAgent& agent,
                                     const ServiceState& service) const {
  const std::vector<KnownAgent*>& peers =
      this->agents.OfService(service.document().service);
  const auto ejected =
      std::count_if(peers.begin(), peers.end(), [&](const KnownAgent* peer) {
        return peer != &agent && this->IsOnProbation(*peer);
      });
  return (static_cast<std::size_t>(ejected) + 1) * kPercent <=
         peers.size() * service.document().maximum_ejected_percent;
}

}  // namespace dandelionspur
