#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_PERFORMANCE_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_PERFORMANCE_H_

#include "libraries/base/time.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// How fast and how reliably the upstream completes tasks, over the tasks of all
// entries. An entry alone sees too few of them to notice a change soon.
class UpstreamPerformance {
 public:
  // Records a task that succeeded. Without a declared or measured time it
  // counts only for the share of failures.
  void ObserveSuccess(Duration declared, Duration elapsed, Timestamp now);
  // Records a task that failed.
  void ObserveFailure(Timestamp now);
  // Nothing is known once no task has ended for a while: an upstream that was
  // slow or failed its tasks is tried again.
  [[nodiscard]] PerformanceReport Report(Timestamp now) const;

 private:
  // Forgets what is outdated.
  void Advance(Timestamp now);
  [[nodiscard]] bool IsOutdated(Timestamp now) const;

  // Logarithm of the geometric mean of measured over declared run time.
  double log_slowness = 0;
  // Share of failed tasks.
  double failure_share = 0;
  std::uint32_t successes = 0;
  Timestamp latest;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_PERFORMANCE_H_
