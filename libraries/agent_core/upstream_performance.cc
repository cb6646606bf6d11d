#include "libraries/agent_core/upstream_performance.h"

#include <algorithm>
#include <cmath>

namespace dandelionspur {
namespace {

constexpr double kAverageWeight = 0.1;
// A single task that runs far longer than declared says little of its upstream.
constexpr double kMaximumRatio = 20;
constexpr double kPercent = 100;
constexpr Duration kValidFor = std::chrono::seconds(5);

double Average(double average, double sample, double weight) {
  return average + weight * (sample - average);
}

}  // namespace

void UpstreamPerformance::ObserveSuccess(Duration declared, Duration elapsed,
                                         Timestamp now) {
  this->Advance(now);
  this->failure_share = Average(this->failure_share, 0, kAverageWeight);
  if (declared <= Duration() || elapsed <= Duration()) return;
  const double ratio = static_cast<double>(elapsed.count()) /
                       static_cast<double>(declared.count());
  const double bounded = std::clamp(ratio, 1 / kMaximumRatio, kMaximumRatio);
  ++this->successes;
  // The first samples count equally, so that the average settles soon.
  const double weight = std::max(kAverageWeight, 1.0 / this->successes);
  this->log_slowness = Average(this->log_slowness, std::log(bounded), weight);
}

void UpstreamPerformance::ObserveFailure(Timestamp now) {
  this->Advance(now);
  this->failure_share = Average(this->failure_share, 1, kAverageWeight);
}

PerformanceReport UpstreamPerformance::Report(Timestamp now) const {
  PerformanceReport report;
  if (this->IsOutdated(now)) return report;
  if (this->successes > 0) {
    report.slowness_percent = static_cast<std::uint32_t>(
        std::lround(std::exp(this->log_slowness) * kPercent));
  }
  report.failed_percent =
      static_cast<std::uint32_t>(std::lround(this->failure_share * kPercent));
  return report;
}

void UpstreamPerformance::Advance(Timestamp now) {
  if (this->IsOutdated(now)) *this = UpstreamPerformance();
  this->latest = now;
}

bool UpstreamPerformance::IsOutdated(Timestamp now) const {
  return now - this->latest > kValidFor;
}

}  // namespace dandelionspur
