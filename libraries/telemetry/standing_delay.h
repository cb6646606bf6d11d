#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_STANDING_DELAY_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_STANDING_DELAY_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "libraries/base/time.h"

namespace dandelionspur {

// The delay of an event loop that lasts: the least delay of its recent
// intervals. A burst that is worked off at once doesn't count. The value falls
// gradually, so that decisions based on it don't alternate while work is let in
// again.
class StandingDelay {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records the delay of the interval that ends at `now`.
  void Note(Duration delay, Time now);
  [[nodiscard]] Duration value() const { return this->standing; }

 private:
  struct Interval {
    Time end;
    Duration delay;
  };

  [[nodiscard]] Duration LeastDelay() const;
  // What is left of the value at `now`.
  [[nodiscard]] Duration Remainder(Time now) const;

  std::deque<Interval> recent;
  Duration standing{};
  Time noted_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_STANDING_DELAY_H_
