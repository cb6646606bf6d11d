#include "libraries/entry_core/task_placement.h"

#include <variant>

namespace dandelionspur {

std::optional<PlacementChoice> TaskPlacement::Choose(const HomeJob& job,
                                                     ServiceState& service,
                                                     Timestamp now) {
  const TaskIndex index = job.queued.back();
  this->CollectCandidates(job, index, now);
  PlacementChoice choice;
  if (this->candidates.size() == 1) {
    choice.reason = PlacementReason::kOnlyCandidate;
  }
  choice.agent = this->ChooseCandidate(job, service);
  if (choice.agent == nullptr) return std::nullopt;
  if (job.tasks[index.value()].retried) {
    choice.reason = PlacementReason::kRetryElsewhere;
  }
  if (this->health.IsOnProbation(*choice.agent)) {
    choice.reason = PlacementReason::kProbation;
  }
  return choice;
}

void TaskPlacement::CollectCandidates(const HomeJob& job, TaskIndex index,
                                      Timestamp now) {
  this->candidates.clear();
  const TaskRecord& task = job.tasks[index.value()];
  const Resources& need = job.submission.tasks[index.value()].need;
  const KnownAgent* last_resort = nullptr;
  for (const KnownAgent* agent :
       this->agents.OfService(job.submission.service)) {
    if (!this->health.MayTakeTask(*agent, need, now)) continue;
    if (task.retried && agent->agent == task.agent) {
      last_resort = agent;
      continue;
    }
    this->candidates.push_back(agent);
  }
  if (this->candidates.empty() && last_resort != nullptr) {
    this->candidates.push_back(last_resort);
  }
}

KnownAgent* TaskPlacement::ChooseCandidate(const HomeJob& job,
                                           ServiceState& service) {
  const BucketId bucket = this->ownership.BucketOfKey(job.submission.key);
  while (!this->candidates.empty()) {
    const std::size_t choice = std::visit(
        [&](auto& policy) { return policy.Choose(this->candidates); },
        service.placement());
    const AgentId agent = this->candidates[choice]->agent;
    // Nearly every agent has promised, so it is cheaper to check the chosen one
    // than to filter all candidates.
    if (this->ownership.AgentPromised(bucket, agent)) {
      return this->agents.Find(agent);
    }
    this->candidates.erase(this->candidates.begin() +
                           static_cast<std::ptrdiff_t>(choice));
  }
  return nullptr;
}

}  // namespace dandelionspur
