#include "libraries/agent_core/loss_suspects.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// A task that crashes its upstream mostly does so within this time after its
// start.
constexpr Duration kCrashWindow = std::chrono::milliseconds(50);

std::size_t MostLosses(const std::vector<TaskAtUpstream>& running,
                       const UpstreamLosses& losses) {
  std::size_t most = 0;
  for (const TaskAtUpstream& task : running) {
    most = std::max(most, losses.SuspectedCount(task.task));
  }
  return most;
}

std::vector<TaskAtUpstream> StartedShortlyBefore(
    const std::vector<TaskAtUpstream>& tasks,
    std::optional<Timestamp> broken_at) {
  std::vector<TaskAtUpstream> found;
  if (!broken_at) return found;
  for (const TaskAtUpstream& task : tasks) {
    if (task.started_at + kCrashWindow >= *broken_at) found.push_back(task);
  }
  return found;
}

std::vector<JobGroupId> GroupsOf(const std::vector<TaskAtUpstream>& tasks) {
  std::set<JobGroupId> groups;
  for (const TaskAtUpstream& task : tasks) groups.insert(task.group);
  groups.erase(JobGroupId());
  return {groups.begin(), groups.end()};
}

}  // namespace

LossSuspects FindSuspects(const std::vector<TaskAtUpstream>& running,
                          const UpstreamLosses& losses,
                          std::optional<Timestamp> broken_at) {
  const std::size_t most_losses = MostLosses(running, losses);
  std::vector<TaskAtUpstream> suspects;
  for (const TaskAtUpstream& task : running) {
    if (losses.SuspectedCount(task.task) == most_losses) {
      suspects.push_back(task);
    }
  }
  const std::vector<TaskAtUpstream> recent =
      StartedShortlyBefore(suspects, broken_at);
  if (!recent.empty()) suspects = recent;
  LossSuspects result;
  for (const TaskAtUpstream& task : suspects) result.tasks.insert(task.task);
  const bool stand_out = most_losses > 0 || !recent.empty();
  if (stand_out) result.groups = GroupsOf(suspects);
  return result;
}

}  // namespace dandelionspur
