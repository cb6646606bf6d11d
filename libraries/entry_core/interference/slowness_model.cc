#include "libraries/entry_core/interference/slowness_model.h"

#include <algorithm>

namespace dandelionspur {
namespace {

constexpr double kServiceRate = 0.05;
constexpr double kUpstreamRate = 0.1;
constexpr double kGroupRate = 0.02;
constexpr std::size_t kMaximumGroups = 2048;
constexpr Duration kForgetAfter = std::chrono::minutes(2);

template <typename Map>
void RemoveOlder(Map& estimates, Timestamp horizon) {
  std::erase_if(estimates,
                [&](const auto& item) { return item.second.latest < horizon; });
}

}  // namespace

double SlownessModel::Learn(JobGroupId group, AgentId upstream,
                            double logarithm, UpstreamTraining training,
                            Timestamp now) {
  Estimate& here = this->upstreams[upstream];
  here.latest = now;
  const double without_group = logarithm - this->service - here.value;
  auto known = this->groups.find(group);
  if (known == this->groups.end()) {
    if (this->groups.size() >= kMaximumGroups) return 0;
    known = this->groups.emplace(group, Estimate{without_group, 0, now}).first;
  }
  Estimate& own = known->second;
  own.latest = now;
  ++own.observations;
  const double unexplained = without_group - own.value;
  own.value += unexplained *
               std::max(kGroupRate, 1 / static_cast<double>(own.observations));
  this->service += kServiceRate * unexplained;
  if (training == UpstreamTraining::kTrains) {
    here.value += kUpstreamRate * unexplained;
  }
  return unexplained;
}

void SlownessModel::Expire(Timestamp now) {
  RemoveOlder(this->groups, now - kForgetAfter);
  RemoveOlder(this->upstreams, now - kForgetAfter);
}

}  // namespace dandelionspur
