#include "libraries/entry_core/task_requeuer.h"

namespace dandelionspur {

bool TaskRequeuer::MayRunAgain(const HomeJob& job, const TaskRecord& task,
                               TaskOutcome outcome) {
  if (!job.IsRerunnable()) return false;
  if (outcome == TaskOutcome::kSucceeded) return false;
  return task.failures < job.submission.maximum_attempts;
}

void TaskRequeuer::Requeue(HomeJob& job, TaskIndex index, Reason reason,
                           Timestamp now) {
  TaskRecord& task = job.tasks[index.value()];
  task.phase = TaskPhase::kQueued;
  // kNoFreeSlot is no failure: another home has taken the slot, and the agent's
  // load reports show when to try again. Nor is an evacuation.
  const bool has_failed =
      reason != Reason::kNoFreeSlot && reason != Reason::kDataCentreEvacuated;
  if (has_failed) task.retried = true;
  if (job.phase != JobPhase::kRunning) return;
  if (!task.unsettled_agents.empty()) {
    const AgentId next = task.unsettled_agents.back();
    task.unsettled_agents.pop_back();
    this->Query(job, {index, next});
    return;
  }
  ServiceState* service = this->context.queues.Of(job);
  const bool may_retry =
      !has_failed || service == nullptr || service->TakeRetry();
  if (!may_retry) {
    this->finisher.Refuse(job, Reason::kRetryBudgetExhausted, now);
    return;
  }
  this->context.outbox.Add(
      RetryCounted{{job.submission.key, index}, reason, task.agent});
  this->context.queues.AddTask(job, index);
}

void TaskRequeuer::Query(HomeJob& job, const ReportedTask& run) {
  this->context.outstanding.Add(job, run.task, run.agent, TaskPhase::kQuerying,
                                StartSuspicion::kNone);
  job.tasks[run.task.value()].confirmation = run.start;
  const JobKey& key = job.submission.key;
  const BucketId bucket = this->context.ownership.BucketOfKey(key);
  this->context.outbox.ToAgent(
      run.agent,
      Renounce{{key, run.task}, this->context.ownership.Promised(bucket), 0});
}

}  // namespace dandelionspur
