#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_LOSS_SUSPECTS_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_LOSS_SUSPECTS_H_

#include <optional>
#include <set>
#include <vector>

#include "libraries/agent_core/upstream_admission.h"
#include "libraries/protocol/upstream_losses.h"

namespace dandelionspur {

// The tasks that may have caused the loss of an upstream.
struct LossSuspects {
  // All running tasks if none of them is more likely than the others.
  std::set<TaskId> tasks;
  // The groups of these tasks; empty if none is more likely than the others.
  std::vector<JobGroupId> groups;
};

// Finds the tasks with the most earlier losses, and among these the ones that
// started shortly before contact broke, if there are any. `broken_at` is
// nothing if the upstream only stopped answering, so that the time of the loss
// is not known.
LossSuspects FindSuspects(const std::vector<TaskAtUpstream>& running,
                          const UpstreamLosses& losses,
                          std::optional<Timestamp> broken_at);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_LOSS_SUSPECTS_H_
