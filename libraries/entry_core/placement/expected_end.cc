#include "libraries/entry_core/placement/expected_end.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace dandelionspur {
namespace {

// An upstream that is reported as idle attracts the tasks of all entries, so
// its load counts as at least this share of its capacity.
constexpr double kLeastLoadShare = 0.25;
// Keeps the estimate finite where all tasks fail.
constexpr double kMaximumFailureShare = 0.9;

// The mean of max(0, x) for a normally distributed x.
double MeanExcess(double mean, double deviation) {
  if (deviation <= 0) return std::max(0.0, mean);
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double probability = std::erfc(-z / std::numbers::sqrt2) / 2;
  return mean * probability + deviation * density;
}

double Microseconds(Duration duration) {
  return static_cast<double>(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

Duration FromMicroseconds(double microseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(std::llround(microseconds)));
}

}  // namespace

Duration ExpectedStart(const TaskOutlook& task,
                       const UpstreamOutlook& upstream) {
  const auto capacity = static_cast<double>(upstream.capacity_millicores);
  if (capacity <= 0) return Duration::max();
  const auto taken = static_cast<double>(upstream.taken_millicores);
  const auto need = static_cast<double>(task.millicores);
  const double run_time =
      std::max(1.0, Microseconds(task.usual_run_time) * upstream.slowness);
  // Tasks end and others start at about the same rate, so the load's deviation
  // from the report grows until all tasks of the report have ended.
  const double load = std::max(taken, kLeastLoadShare * capacity);
  const double age = Microseconds(std::max(Duration(), upstream.report_age));
  const double variance = load * need * (1 - std::exp(-2 * age / run_time));
  const double excess =
      MeanExcess(taken + need - capacity, std::sqrt(variance));
  return FromMicroseconds(excess / capacity * run_time);
}

Duration ExpectedEnd(const TaskOutlook& task, const UpstreamOutlook& upstream) {
  const Duration start = ExpectedStart(task, upstream);
  if (start == Duration::max()) return start;
  const double run = Microseconds(task.declared) * upstream.slowness;
  const double failures =
      std::min(kMaximumFailureShare, upstream.failure_share);
  return FromMicroseconds((Microseconds(start) + run) / (1 - failures));
}

}  // namespace dandelionspur
