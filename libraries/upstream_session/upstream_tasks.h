#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_TASKS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_TASKS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "libraries/agent_core/started_set.h"
#include "libraries/upstream_session/lease_grants.h"
#include "libraries/upstream_session/list_number.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

// A task that a session has ordered its upstream to run.
struct UpstreamTask {
  using SteadyTime = std::chrono::steady_clock::time_point;

  enum class Phase {
    // The start order is sent and not yet answered.
    kOrdered,
    // The call ended without an answer.
    kUnconfirmed,
    kRunning,
    // Another incarnation answers at the address that the start order was sent
    // to. It may have received the order.
    kOrphaned,
  };

  TaskId id;
  TaskRun run;
  Payload body;
  Phase phase = Phase::kOrdered;
  // Token of the latest start order.
  FencingToken token;
  // The lease that the latest start order requests.
  LeaseGrantNumber lease;
  // The first list request sent after the run was confirmed.
  ListNumber listed_from;
  SteadyTime started_at;
  std::uint32_t orders = 0;
  bool stopping = false;
  SteadyTime next_stop;

  [[nodiscard]] StartConfirmation confirmation() const {
    return this->phase == Phase::kRunning ? StartConfirmation::kConfirmed
                                          : StartConfirmation::kUnconfirmed;
  }
};

// A task that has ended, by its name at the upstream.
struct EndedTask {
  std::string name;
  UpstreamResult result = UpstreamResult::kBroken;
};

// The tasks of a session that have not ended, and the numbers of their runs.
class UpstreamTasks {
 public:
  using SteadyTime = UpstreamTask::SteadyTime;

  // Adds a task under a name that is not in use, with the next run number.
  UpstreamTask& Add(const std::string& name, const RunOnUpstream& wanted,
                    SteadyTime now);
  // Removes and returns the task, or nothing if there is none.
  std::optional<UpstreamTask> Remove(const std::string& name);
  // Takes the number for a further run of the task.
  RunNumber NextRun(const std::string& name);
  // Another incarnation answers, which numbers its completions anew. The start
  // orders may have reached it.
  void BeginIncarnation();
  // Acknowledges the completions that a list adds, and returns the tasks that
  // have ended by them.
  std::vector<EndedTask> TakeCompletions(const ListAnswer& list);
  // Compares the tasks with an answer to the list request `number`, which was
  // sent under `token`. Confirms runs that it lists, and returns the tasks that
  // have ended or were never started, in the order in which to complete them.
  std::vector<EndedTask> Reconcile(ListNumber number, FencingToken token,
                                   const ListAnswer& list);

  [[nodiscard]] bool empty() const { return this->tasks.empty(); }
  [[nodiscard]] std::size_t size() const { return this->tasks.size(); }
  [[nodiscard]] bool Contains(const std::string& name) const {
    return this->tasks.contains(name);
  }
  // The names of the tasks whose starts are confirmed, or aren't.
  [[nodiscard]] std::vector<std::string> Names(StartConfirmation starts) const;
  // The tasks whose starts aren't confirmed.
  [[nodiscard]] std::vector<TaskId> Unconfirmed() const;
  // The latest completion that was processed.
  [[nodiscard]] CompletionNumber acknowledged() const {
    return this->last_completion;
  }
  // The task whose latest run this is, or null.
  [[nodiscard]] UpstreamTask* Find(const TaskRun& run);
  [[nodiscard]] UpstreamTask* Find(const TaskId& id);
  // Whether this is the latest or an earlier run of a task.
  [[nodiscard]] bool IsKnown(const TaskRun& run) const;
  // The tasks whose stop order is to be repeated.
  [[nodiscard]] std::vector<UpstreamTask*> DueStops(SteadyTime now);

 private:
  // By the task's name at the upstream.
  std::map<std::string, UpstreamTask> tasks;
  std::unordered_map<TaskId, std::string, TaskIdHash> names;
  std::unordered_map<std::string, RunNumber> last_runs;
  CompletionNumber last_completion;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_TASKS_H_
