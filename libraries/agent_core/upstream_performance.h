#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_PERFORMANCE_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_PERFORMANCE_H_

#include "libraries/base/time.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// How fast and how reliably the upstream completes tasks, over the tasks of all
// entries. An entry alone sees too few of them to notice a change soon.
class UpstreamPerformance {
 public:
  void ObserveSuccess(Duration declared, Duration elapsed);
  void ObserveFailure();
  [[nodiscard]] PerformanceReport Report() const;

 private:
  // Logarithm of the geometric mean of measured over declared run time.
  double log_slowness = 0;
  // Share of failed tasks.
  double failure_share = 0;
  std::uint32_t successes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_PERFORMANCE_H_
