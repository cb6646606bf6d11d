#include "libraries/entry_core/task_dispatcher.h"

#include <optional>
#include <utility>

namespace dandelionspur {
namespace {

// Above it are the jobs of all priorities.
constexpr std::uint32_t kAnyPriority = UINT32_MAX;

}  // namespace

TaskDispatcher::TaskDispatcher(const EntryCoreSettings& configured,
                               const HomeContext& context,
                               const UpstreamHealth& health,
                               const UpstreamLosses& upstream_losses,
                               EarlyRefusals& refusals,
                               JobFinisher& job_finisher)
    : suspect_after(configured.suspect_after),
      ownership(context.ownership),
      agents(context.agents),
      jobs(context.jobs),
      queues(context.queues),
      outstanding(context.outstanding),
      outbox(context.outbox),
      losses(upstream_losses),
      early_refusals(refusals),
      finisher(job_finisher),
      placement(context.ownership, context.agents, health, upstream_losses),
      send_budget(configured.link_bytes_per_second) {}

void TaskDispatcher::Dispatch(Timestamp now) {
  for (auto& [name, service] : this->queues.all()) {
    if (service.queued_tasks() > 0) this->DispatchService(service, now);
  }
}

void TaskDispatcher::DispatchService(ServiceState& service, Timestamp now) {
  this->early_refusals.DeprioritizeOverdue(service, now);
  this->DispatchQueue(service, now, [&] { return service.Next(); });
  for (const JobGroupId group : service.quarantine().Groups()) {
    this->DispatchQueue(service, now, [&] { return service.NextOf(group); });
  }
  // Tasks that wait for this entry's own link need no other upstream.
  if (service.queued_tasks() > 0 && this->send_budget.HasRoom(now)) {
    this->SendDemandNotices(service, now);
  }
}

template <typename NextJob>
void TaskDispatcher::DispatchQueue(ServiceState& service, Timestamp now,
                                   const NextJob& next_job) {
  while (this->send_budget.HasRoom(now)) {
    const std::optional<JobKey> key = next_job();
    if (!key) break;
    HomeJob& job = this->jobs.At(*key);
    if (this->YieldsToPeers(job, service)) {
      if (!this->StartInTime(kAnyPriority, service, now)) break;
      continue;
    }
    const TaskIndex index = job.queued.back();
    const std::optional<PlacementChoice> choice =
        this->placement.Choose(job, service, now);
    if (choice) {
      this->StartTask(job, service, *choice, now);
      continue;
    }
    const Resources& need = job.submission.tasks[index.value()].need;
    if (!this->agents.MayEverHold(job.submission.service, need)) {
      this->finisher.Refuse(job, Reason::kDeadlineTooShort, now);
      continue;
    }
    if (!this->StartInTime(job.submission.priority, service, now)) break;
  }
}

bool TaskDispatcher::StartInTime(std::uint32_t priority, ServiceState& service,
                                 Timestamp now) {
  const std::optional<JobKey> key = service.NextAbove(priority);
  if (!key) return false;
  HomeJob& job = this->jobs.At(*key);
  const std::optional<PlacementChoice> choice =
      this->placement.Choose(job, service, now);
  if (!choice) return false;
  this->StartTask(job, service, *choice, now);
  return true;
}

bool TaskDispatcher::YieldsToPeers(const HomeJob& job,
                                   const ServiceState& service) const {
  // A shorter queue is gone before a message about it has arrived.
  constexpr Duration kNegligibleWait = std::chrono::milliseconds(5);
  const Duration core_time = service.peer_backlog().in_time;
  const std::int64_t cores = this->agents.CoresOf(job.submission.service);
  return job.is_late && core_time / cores > kNegligibleWait;
}

void TaskDispatcher::StartTask(HomeJob& job, ServiceState& service,
                               const PlacementChoice& choice, Timestamp now) {
  KnownAgent& agent = *choice.agent;
  const TaskIndex task = this->queues.TakeTask(job, service);
  const TaskRequest& request = job.submission.tasks[task.value()];
  const TaskId id{job.submission.key, task};
  this->outstanding.Add(job, task, agent.agent, TaskPhase::kStarted,
                        this->losses.SuspectedCount(id) > 0
                            ? StartSuspicion::kSuspect
                            : StartSuspicion::kNone);
  agent.demand_notified = service.queued_tasks() > 0;
  const BucketId bucket = this->ownership.BucketOfKey(job.submission.key);
  TaskRecord& record = job.tasks[task.value()];
  record.start = {this->ownership.Promised(bucket), ++this->last_start};
  record.confirmation = StartConfirmation::kUnconfirmed;
  agent.NoteStartSent({id, record.start}, request.need);
  Start start{id,
              record.start.ballot,
              record.start.attempt,
              agent.agent,
              job.TimeLeft(now),
              PlacementReason::kFastestFree,
              service.queued_tasks(),
              job.submission.name,
              job.submission.rerun,
              agent.newest_heartbeat,
              request,
              std::nullopt,
              this->losses.Of(id),
              job.submission.group,
              choice.scope,
              job.SlackOf(request.declared, agent.slowness, now),
              service.KeepsApart(),
              std::nullopt};
  start.SetPlacement(choice.reason);
  agent.OmitRepeatedBody(start);
  this->send_budget.NoteSent(start.request.body.size() +
                             kJobMessageHeaderBytes);
  this->outbox.ToAgent(agent.agent, std::move(start));
}

void TaskDispatcher::SendDemandNotices(ServiceState& service, Timestamp now) {
  for (KnownAgent* agent : this->agents.OfService(service.document().service)) {
    if (agent->demand_notified) continue;
    if (!agent->IsUsable(now, this->suspect_after)) continue;
    agent->demand_notified = true;
    this->outbox.ToAgent(agent->agent, DemandNotice{service.queued_tasks()});
  }
}

}  // namespace dandelionspur
