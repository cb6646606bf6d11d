#include "libraries/upstream_session/upstream_tasks.h"

#include <set>
#include <utility>

namespace dandelionspur {
namespace {

using Phase = UpstreamTask::Phase;

// Number of task names whose latest run number is stored.
constexpr std::size_t kMaximumRememberedRuns = 20'000;

bool IsUnresolved(const UpstreamTask& task) {
  return task.phase == Phase::kUnconfirmed || task.phase == Phase::kOrphaned;
}

UpstreamResult ResultOf(RunOutcome outcome) {
  if (outcome == RunOutcome::kDone) return UpstreamResult::kSucceeded;
  if (outcome == RunOutcome::kFailed) return UpstreamResult::kFailed;
  return UpstreamResult::kBroken;
}

}  // namespace

UpstreamTask& UpstreamTasks::Add(const std::string& name,
                                 const RunOnUpstream& wanted, SteadyTime now) {
  UpstreamTask task;
  task.id = wanted.task;
  task.run = {name, this->NextRun(name)};
  task.body = wanted.body;
  task.started_at = now;
  this->names[wanted.task] = name;
  return this->tasks.emplace(name, std::move(task)).first->second;
}

std::optional<UpstreamTask> UpstreamTasks::Remove(const std::string& name) {
  const auto found = this->tasks.find(name);
  if (found == this->tasks.end()) return std::nullopt;
  UpstreamTask task = std::move(found->second);
  this->tasks.erase(found);
  this->names.erase(task.id);
  return task;
}

RunNumber UpstreamTasks::NextRun(const std::string& name) {
  // After this, the first order for a known task may be refused because of its
  // low run number, and is then sent again with the next one.
  if (this->last_runs.size() >= kMaximumRememberedRuns) {
    this->last_runs.clear();
  }
  RunNumber& last = this->last_runs[name];
  last = RunNumber(last.value() + 1);
  return last;
}

void UpstreamTasks::BeginIncarnation() {
  for (auto& [name, task] : this->tasks) task.phase = Phase::kOrphaned;
  this->last_completion = CompletionNumber();
}

std::vector<EndedTask> UpstreamTasks::TakeCompletions(const ListAnswer& list) {
  std::vector<EndedTask> ended;
  for (const CompletedRun& item : list.completed) {
    if (item.number <= this->last_completion) continue;
    this->last_completion = item.number;
    if (this->Find(item.run) == nullptr) continue;
    ended.push_back({item.run.task, ResultOf(item.outcome)});
  }
  return ended;
}

std::vector<EndedTask> UpstreamTasks::Reconcile(ListNumber number,
                                                FencingToken token,
                                                const ListAnswer& list) {
  // The list of completions may be cut off, so a run that is not listed may
  // have completed normally.
  if (list.completed.size() >= kMaximumListedCompletions) return {};
  const std::set<TaskRun> running(list.running.begin(), list.running.end());
  std::vector<EndedTask> ended;
  std::vector<EndedTask> disappeared;
  for (auto& [name, task] : this->tasks) {
    const bool listed = running.contains(task.run);
    if (IsUnresolved(task) && token > task.token) {
      if (listed) {
        task.phase = Phase::kRunning;
        task.listed_from = number;
      } else if (task.phase == Phase::kOrphaned) {
        disappeared.push_back({name, UpstreamResult::kBroken});
      } else {
        ended.push_back({name, UpstreamResult::kUnanswered});
      }
    } else if (task.phase == Phase::kRunning && !listed &&
               number >= task.listed_from) {
      disappeared.push_back({name, UpstreamResult::kBroken});
    }
  }
  ended.insert(ended.end(), disappeared.begin(), disappeared.end());
  return ended;
}

std::vector<std::string> UpstreamTasks::Names(StartConfirmation starts) const {
  std::vector<std::string> found;
  for (const auto& [name, task] : this->tasks) {
    if (task.confirmation() == starts) found.push_back(name);
  }
  return found;
}

std::vector<TaskId> UpstreamTasks::Unconfirmed() const {
  std::vector<TaskId> found;
  for (const auto& [name, task] : this->tasks) {
    if (task.confirmation() == StartConfirmation::kConfirmed) continue;
    found.push_back(task.id);
  }
  return found;
}

UpstreamTask* UpstreamTasks::Find(const TaskRun& run) {
  const auto found = this->tasks.find(run.task);
  const bool same = found != this->tasks.end() && found->second.run == run;
  return same ? &found->second : nullptr;
}

UpstreamTask* UpstreamTasks::Find(const TaskId& id) {
  const auto name = this->names.find(id);
  return name == this->names.end() ? nullptr : &this->tasks.at(name->second);
}

bool UpstreamTasks::IsKnown(const TaskRun& run) const {
  const auto found = this->tasks.find(run.task);
  return found != this->tasks.end() && found->second.run.run >= run.run;
}

std::vector<UpstreamTask*> UpstreamTasks::DueStops(SteadyTime now) {
  std::vector<UpstreamTask*> due;
  for (auto& [name, task] : this->tasks) {
    if (task.stopping && now >= task.next_stop) due.push_back(&task);
  }
  return due;
}

}  // namespace dandelionspur
