#include "services/entry/drain_estimate.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Longer estimates are cut, so that they can be expressed as a Duration.
constexpr std::chrono::hours kLongestEstimate{1};

}  // namespace

void DrainEstimate::Note(double backlog, Time now) {
  const std::chrono::duration<double> elapsed = now - this->noted_at;
  const bool has_drained = this->noted_at != Time() &&
                           backlog < this->current && elapsed.count() > 0;
  if (has_drained) this->rate = (this->current - backlog) / elapsed.count();
  this->current = backlog;
  this->noted_at = now;
}

std::optional<Duration> DrainEstimate::TimeUntil(double target) const {
  if (this->rate <= 0) return std::nullopt;
  const double excess = std::max(0.0, this->current - target);
  const std::chrono::duration<double> time(excess / this->rate);
  if (time > kLongestEstimate) return kLongestEstimate;
  return std::chrono::duration_cast<Duration>(time);
}

}  // namespace dandelionspur
