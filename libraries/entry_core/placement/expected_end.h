#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PLACEMENT_EXPECTED_END_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PLACEMENT_EXPECTED_END_H_

#include <cstdint>

#include "libraries/base/time.h"

namespace dandelionspur {

// What an entry knows of an upstream from the latest report of its agent.
struct UpstreamOutlook {
  // Zero: the upstream takes no tasks.
  std::uint64_t capacity_millicores = 0;
  // Of the tasks that run or wait there, or were sent there since the report.
  std::uint64_t taken_millicores = 0;
  // Time since the report.
  Duration report_age{};
  // Measured over declared run time.
  double slowness = 1;
  // Share of the tasks that fail, from 0 to 1.
  double failure_share = 0;
};

// What the estimate needs to know of a task.
struct TaskOutlook {
  std::uint64_t millicores = 0;
  Duration declared{};
  // The mean run time of the service's tasks.
  Duration usual_run_time{};
};

// The expected time until the task would start at the upstream. Other entries
// start tasks there as well, and what they have started since the report is
// unknown, so a task may have to wait although the report shows room: the more
// likely the older the report and the fuller the upstream.
[[nodiscard]] Duration ExpectedStart(const TaskOutlook& task,
                                     const UpstreamOutlook& upstream);
// The expected time until the task would end there. Failed runs are repeated.
[[nodiscard]] Duration ExpectedEnd(const TaskOutlook& task,
                                   const UpstreamOutlook& upstream);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PLACEMENT_EXPECTED_END_H_
