#ifndef DANDELIONSPUR_SERVICES_ENTRY_DRAIN_ESTIMATE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_DRAIN_ESTIMATE_H_

#include <chrono>
#include <optional>

#include "libraries/base/time.h"

namespace dandelionspur {

// Estimates when a backlog will have drained, by how fast it last did.
class DrainEstimate {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records the backlog, in any unit, at `now`.
  void Note(double backlog, Time now);
  // The time until the backlog is down to `target`; nothing if it has never
  // been seen to drain.
  [[nodiscard]] std::optional<Duration> TimeUntil(double target) const;

 private:
  double current = 0;
  Time noted_at;
  // In units a second, when the backlog last drained.
  double rate = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_DRAIN_ESTIMATE_H_
