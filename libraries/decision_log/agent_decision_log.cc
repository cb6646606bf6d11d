#include "libraries/decision_log/agent_decision_log.h"

namespace dandelionspur {

void AgentDecisionLog::Observe(const AgentEvent& event,
                               const std::vector<AgentEffect>& effects,
                               Timestamp at) {
  this->now = at;
  std::visit([this](const auto& seen) { this->See(seen); }, event);
  for (const AgentEffect& effect : effects) {
    std::visit([this](const auto& told) { this->Tell(told); }, effect);
  }
}

void AgentDecisionLog::See(const EntryConnected& event) {
  LogStateChange(PeerReached{event.entry});
}

void AgentDecisionLog::See(const EntryDisconnected& event) {
  LogStateChange(PeerOutOfReach{event.entry});
}

void AgentDecisionLog::See(const EntryMessageReceived& event) {
  const auto* start = std::get_if<Start>(&event.message);
  if (start == nullptr) return;
  TaskTrails::Trail& trail =
      this->trails.Begin(start->task, start->job_name, this->now);
  TaskTrails::Add(trail,
                  StartReceived{start->job_name, start->task.key.ToHex(),
                                start->task.task.value(), start->attempt,
                                event.from, start->time_left},
                  this->now);
}

void AgentDecisionLog::See(const UpstreamTaskCompleted& event) {
  TaskTrails::Trail* trail = this->trails.Find(event.task);
  if (trail == nullptr) return;
  TaskTrails::AddLast(
      *trail,
      UpstreamEndLine{trail->job, event.task.key.ToHex(),
                      event.task.task.value(), event.result, event.elapsed},
      this->now);
  const bool good = event.result == UpstreamResult::kSucceeded;
  this->End(event.task, good ? LogCategory::kDetail : LogCategory::kFailure);
}

void AgentDecisionLog::See(const UpstreamAnnounced& event) {
  LogStateChange(UpstreamHeard{event.description.upstream,
                               event.description.service.value(),
                               event.description.capacity.millicores});
}

void AgentDecisionLog::See(const UpstreamLeaving& /*event*/) {
  LogStateChange(UpstreamLeaves{});
}

void AgentDecisionLog::See(const UpstreamContactChanged& event) {
  LogStateChange(UpstreamContactLine{event.contact, this->core.running()});
}

void AgentDecisionLog::Tell(const RunOnUpstream& effect) {
  TaskTrails::Trail* trail = this->trails.Find(effect.task);
  if (trail == nullptr) return;
  TaskTrails::Add(*trail, TaskOrdered{trail->job, effect.task.task.value()},
                  this->now);
}

void AgentDecisionLog::Tell(const StopOnUpstream& effect) {
  TaskTrails::Trail* trail = this->trails.Find(effect.task);
  if (trail == nullptr) return;
  TaskTrails::Add(*trail, TaskStopOrdered{trail->job, effect.task.task.value()},
                  this->now);
}

void AgentDecisionLog::Tell(const SendToEntry& effect) {
  const auto* refused = std::get_if<TaskNotRun>(&effect.message);
  if (refused == nullptr) return;
  TaskTrails::Trail* trail = this->trails.Find(refused->task);
  if (trail == nullptr) return;
  TaskTrails::AddLast(
      *trail,
      StartRefusedLine{
          trail->job, refused->task.key.ToHex(), refused->task.task.value(),
          refused->reason, refused->load.running.millicores,
          refused->load.waiting.millicores, refused->load.capacity.millicores},
      this->now);
  this->End(refused->task, LogCategory::kFailure);
}

void AgentDecisionLog::Tell(const ConnectToMembers& effect) {
  LogStateChange(
      ViewAdopted{effect.view.epoch.value(), effect.view.members.size()});
}

void AgentDecisionLog::Tell(const RenewalChanged& effect) {
  LogStateChange(RenewalLine{effect.renewal, this->core.running()});
}

void AgentDecisionLog::End(const TaskId& task, LogCategory log_category) {
  const TaskTrails::Trail* trail = this->trails.Find(task);
  if (trail == nullptr) return;
  const bool told = log_category == LogCategory::kFailure ||
                    IsFollowed(task.key.low, this->followed_per_thousand);
  if (told) TaskTrails::Tell(*trail, log_category, this->now);
  this->trails.Forget(task);
}

}  // namespace dandelionspur
