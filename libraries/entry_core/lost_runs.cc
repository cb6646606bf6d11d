#include "libraries/entry_core/lost_runs.h"

#include <algorithm>
#include <vector>

namespace dandelionspur {

void LostRuns::OnAgentLost(AgentId agent, AgentRuns runs, Timestamp now) {
  for (const TaskId& id : this->context.outstanding.StartedAt(agent)) {
    HomeJob* job = this->context.jobs.Find(id.key);
    if (job == nullptr) continue;
    TaskRecord& task = job->tasks[id.task.value()];
    const bool may_run_again =
        TaskRequeuer::MayRunAgain(*job, task, TaskOutcome::kUnknown);
    if (may_run_again && runs == AgentRuns::kEnded) {
      this->context.outstanding.Remove(*job, id.task);
      this->requeuer.Requeue(*job, id.task, Reason::kAgentLost, now);
      continue;
    }
    // Waiting until the run is over makes sense only if the answer is still of
    // use by then.
    const bool may_wait =
        may_run_again &&
        now + this->settings.RunsOver(task.confirmation) <= job->UsefulUntil();
    if (may_wait) continue;
    const Duration retry_after =
        may_run_again ? this->UnsettledFor(*job, now) : Duration();
    this->finisher.Finish(
        *job, JobAnswer::MayHaveRun(Reason::kAgentLost, retry_after), now);
  }
}

Duration LostRuns::UnsettledFor(const HomeJob& job, Timestamp now) const {
  Timestamp settled_at = now;
  for (const TaskRecord& task : job.tasks) {
    if (!task.IsOutstanding()) continue;
    const KnownAgent* agent = this->context.agents.Find(task.agent);
    const bool can_be_asked =
        agent != nullptr && !agent->lost_at && !agent->refuses_connections;
    if (can_be_asked) continue;
    settled_at = std::max(settled_at, this->context.ownership.RunsOverAt(
                                          task.agent, task.confirmation, now));
  }
  return settled_at - now;
}

void LostRuns::RequeueEnded(Timestamp now) {
  this->context.outstanding.RemoveIdleAgents();
  std::vector<TaskId> at_silent_agents;
  for (const auto& [agent, tasks] : this->context.outstanding.by_agent()) {
    const bool is_silent = this->context.ownership.RunsAreOver(
        agent, StartConfirmation::kConfirmed, now);
    if (!is_silent) continue;
    at_silent_agents.insert(at_silent_agents.end(), tasks.begin(), tasks.end());
  }
  for (const TaskId& id : at_silent_agents) {
    HomeJob* job = this->context.jobs.Find(id.key);
    if (job == nullptr) continue;
    TaskRecord& task = job->tasks[id.task.value()];
    const bool is_over =
        this->context.ownership.RunsAreOver(task.agent, task.confirmation, now);
    if (!is_over) continue;
    // Tasks that must not run again wait for the agent's report after it
    // reconnects.
    if (!TaskRequeuer::MayRunAgain(*job, task, TaskOutcome::kUnknown)) continue;
    this->context.outstanding.Remove(*job, id.task);
    this->requeuer.Requeue(*job, id.task, Reason::kAgentLost, now);
  }
}

bool LostRuns::RefuseIfUnsettled(HomeJob& job, Timestamp now) {
  if (!job.IsRerunnable()) return false;
  const std::optional<Timestamp> settled_at =
      this->context.ownership.HistoryCompleteAt(job.submission, now);
  if (!settled_at || *settled_at <= job.UsefulUntil()) return false;
  this->finisher.Finish(
      job, JobAnswer::MayHaveRun(Reason::kAgentLost, *settled_at - now), now);
  return true;
}

std::size_t LostRuns::UnconfirmedAt(AgentId agent) {
  const std::vector<TaskId> started =
      this->context.outstanding.StartedAt(agent);
  const auto unconfirmed =
      std::count_if(started.begin(), started.end(), [&](const TaskId& id) {
        const HomeJob* job = this->context.jobs.Find(id.key);
        return job != nullptr && job->tasks[id.task.value()].confirmation ==
                                     StartConfirmation::kUnconfirmed;
      });
  return static_cast<std::size_t>(unconfirmed);
}

}  // namespace dandelionspur
