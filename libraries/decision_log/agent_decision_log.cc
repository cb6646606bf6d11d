#include "libraries/decision_log/agent_decision_log.h"

#include <string>
#include <vector>

namespace dandelionspur {

void AgentDecisionLog::Observe(const AgentEvent& event,
                               const std::vector<AgentEffect>& effects,
                               Timestamp at) {
  this->now = at;
  std::visit([this](const auto& specific) { this->OnEvent(specific); }, event);
  for (const AgentEffect& effect : effects) {
    std::visit([this](const auto& specific) { this->OnEffect(specific); },
               effect);
  }
}

void AgentDecisionLog::OnEvent(const EntryConnected& event) {
  LogStateChange(PeerReached{event.entry});
}

void AgentDecisionLog::OnEvent(const EntryDisconnected& event) {
  LogStateChange(PeerOutOfReach{event.entry});
}

void AgentDecisionLog::OnEvent(const EntryMessageReceived& event) {
  const auto* start = std::get_if<Start>(&event.message);
  if (start == nullptr) return;
  TaskTraces::Trace& trace =
      this->traces.FindOrStart(start->task, start->job_name, this->now);
  TaskTraces::Add(trace,
                  StartReceived{start->job_name, start->task.key.ToHex(),
                                start->task.task.value(), start->attempt,
                                event.from, start->time_left},
                  this->now);
}

void AgentDecisionLog::OnEvent(const UpstreamTaskCompleted& event) {
  TaskTraces::Trace* trace = this->traces.Find(event.task);
  if (trace == nullptr) return;
  TaskTraces::AddFinal(
      *trace,
      UpstreamEndLine{trace->job, event.task.key.ToHex(),
                      event.task.task.value(), event.result, event.elapsed},
      this->now);
  const bool good = event.result == UpstreamResult::kSucceeded;
  this->Finish(event.task, good ? LogCategory::kDetail : LogCategory::kFailure);
}

void AgentDecisionLog::OnEvent(const UpstreamAnnounced& event) {
  LogStateChange(UpstreamAnnouncedLine{event.description.upstream,
                                       event.description.service.value(),
                                       event.description.capacity.millicores});
}

void AgentDecisionLog::OnEvent(const UpstreamLeaving& /*event*/) {
  LogStateChange(UpstreamLeaves{});
}

void AgentDecisionLog::OnEvent(const UpstreamContactChanged& event) {
  LogStateChange(UpstreamContactLine{event.contact, this->core.running()});
}

void AgentDecisionLog::OnEvent(const UpstreamLost& event) {
  const std::vector<TaskId> running = this->core.RunningTasks();
  LogStateChange(UpstreamLostLine{event.upstream, event.evidence,
                                  running.size(), this->NamesOf(running)});
}

void AgentDecisionLog::OnEvent(const UpstreamContactBroken& event) {
  LogStateChange(
      UpstreamContactBrokenLine{event.upstream, event.age, this->core.running(),
                                this->NamesOf(this->core.suspected_tasks())});
}

template <typename TaskRange>
std::string AgentDecisionLog::NamesOf(const TaskRange& tasks) {
  std::string names;
  std::size_t named = 0;
  for (const TaskId& task : tasks) {
    if (++named > kMaximumNamedTasks) break;
    if (named > 1) names += ',';
    names += this->NameOf(task);
  }
  return names;
}

std::string AgentDecisionLog::NameOf(const TaskId& task) {
  const TaskTraces::Trace* trace = this->traces.Find(task);
  const std::string job = trace == nullptr ? task.key.ToHex() : trace->job;
  return job + '.' + std::to_string(task.task.value());
}

void AgentDecisionLog::OnEffect(const RunOnUpstream& effect) {
  TaskTraces::Trace* trace = this->traces.Find(effect.task);
  if (trace == nullptr) return;
  TaskTraces::Add(*trace, TaskOrdered{trace->job, effect.task.task.value()},
                  this->now);
}

void AgentDecisionLog::OnEffect(const StopOnUpstream& effect) {
  TaskTraces::Trace* trace = this->traces.Find(effect.task);
  if (trace == nullptr) return;
  TaskTraces::Add(*trace, TaskStopOrdered{trace->job, effect.task.task.value()},
                  this->now);
}

void AgentDecisionLog::OnEffect(const SendToEntry& effect) {
  const auto* refused = std::get_if<TaskNotRun>(&effect.message);
  if (refused == nullptr) return;
  TaskTraces::Trace* trace = this->traces.Find(refused->task);
  if (trace == nullptr) return;
  TaskTraces::AddFinal(
      *trace,
      StartRefusedLine{
          trace->job, refused->task.key.ToHex(), refused->task.task.value(),
          refused->reason, refused->load.running.millicores,
          refused->load.waiting.millicores, refused->load.capacity.millicores},
      this->now);
  this->Finish(refused->task, LogCategory::kFailure);
}

void AgentDecisionLog::OnEffect(const ConnectToMembers& effect) {
  LogStateChange(
      ViewAdopted{effect.view.epoch.value(), effect.view.members.size()});
}

void AgentDecisionLog::OnEffect(const RenewalChanged& effect) {
  LogStateChange(RenewalLine{effect.renewal, this->core.running()});
}

void AgentDecisionLog::OnEffect(const OwnEvacuationChanged& effect) {
  LogStateChange(OwnEvacuationLine{effect.phase, effect.version.value(),
                                   this->core.running()});
}

void AgentDecisionLog::Finish(const TaskId& task, LogCategory log_category) {
  const TaskTraces::Trace* trace = this->traces.Find(task);
  if (trace == nullptr) return;
  const bool is_logged = log_category == LogCategory::kFailure ||
                         IsTraced(task.key.low, this->followed_per_thousand);
  if (is_logged) TaskTraces::WriteLines(*trace, log_category, this->now);
  this->traces.Remove(task);
}

}  // namespace dandelionspur
