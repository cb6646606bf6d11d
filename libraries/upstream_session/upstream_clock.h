#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_CLOCK_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_CLOCK_H_

#include <chrono>

#include "libraries/base/time.h"

namespace dandelionspur {

// The steady clock of an upstream, estimated from the times that it has sent.
class UpstreamClock {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `lease`: the longest lease that the upstream grants.
  explicit UpstreamClock(Duration lease) : maximum_lease(lease) {}

  // Sets the clock to a time received at `now`.
  void Set(Duration received, SteadyTime now);
  // Sets the clock to a time that an answer carries. A delayed answer carries
  // an old time and does not set the clock back.
  void Update(Duration received, SteadyTime now);
  // The expiry of a lease granted at `now`.
  [[nodiscard]] Duration LeaseUntil(SteadyTime now) const;

 private:
  // What the clock shows at `now`.
  [[nodiscard]] Duration At(SteadyTime now) const;

  Duration maximum_lease;
  // The time last received, and when.
  Duration clock{};
  SteadyTime read_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_CLOCK_H_
