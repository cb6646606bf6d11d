#include "libraries/entry_core/group_demand.h"

#include <cmath>

namespace dandelionspur {
namespace {

// The time after which a job's share of the average has fallen to 1/e.
constexpr Duration kAverageOver = std::chrono::seconds(3);
constexpr double kNegligibleCores = 0.001;

double Microseconds(Duration time) { return static_cast<double>(time.count()); }

}  // namespace

void GroupDemand::Average::Decay(Timestamp now) {
  if (now <= this->at) return;
  this->cores *=
      std::exp(-Microseconds(now - this->at) / Microseconds(kAverageOver));
  this->at = now;
}

void GroupDemand::Add(JobGroupId group, Duration core_time, Timestamp now) {
  Average& average = this->groups[group];
  average.Decay(now);
  average.cores += Microseconds(core_time) / Microseconds(kAverageOver);
}

void GroupDemand::Advance(Timestamp now) {
  this->total = 0;
  for (auto& [group, average] : this->groups) {
    average.Decay(now);
    this->total += average.cores;
  }
  std::erase_if(this->groups, [](const auto& item) {
    return item.second.cores < kNegligibleCores;
  });
}

double GroupDemand::CoresOf(JobGroupId group) const {
  const auto found = this->groups.find(group);
  return found == this->groups.end() ? 0 : found->second.cores;
}

}  // namespace dandelionspur
