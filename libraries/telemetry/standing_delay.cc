#include "libraries/telemetry/standing_delay.h"

#include <algorithm>
#include <cmath>

namespace dandelionspur {
namespace {

constexpr std::chrono::milliseconds kWindow{200};
// Intervals that count although the window has passed since they ended, as
// those of a process that is far behind are long.
constexpr std::size_t kMinimumIntervals = 2;
// The value falls by at most half in this time.
constexpr std::chrono::milliseconds kHalfLife{500};

}  // namespace

void StandingDelay::Note(Duration delay, Time now) {
  this->recent.push_back({now, delay});
  while (this->recent.size() > kMinimumIntervals &&
         this->recent.front().end + kWindow < now) {
    this->recent.pop_front();
  }
  this->standing = std::max(this->LeastDelay(), this->Remainder(now));
  this->noted_at = now;
}

Duration StandingDelay::LeastDelay() const {
  if (this->recent.size() < kMinimumIntervals) return Duration();
  const auto least =
      std::min_element(this->recent.begin(), this->recent.end(),
                       [](const Interval& one, const Interval& other) {
                         return one.delay < other.delay;
                       });
  return least->delay;
}

Duration StandingDelay::Remainder(Time now) const {
  if (this->standing == Duration()) return Duration();
  const std::chrono::duration<double> elapsed = now - this->noted_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double share = std::exp2(-elapsed.count() / half_life.count());
  return std::chrono::duration_cast<Duration>(this->standing * share);
}

}  // namespace dandelionspur
