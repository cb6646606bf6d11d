#include "libraries/entry_core/home_jobs.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// The queued tasks, longest last: the queue is served from the back, so that
// the last task to complete is a short one.
std::vector<TaskIndex> QueueOrder(const HomeJob& job) {
  std::vector<TaskIndex> order;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == TaskPhase::kQueued) order.emplace_back(i);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](TaskIndex left, TaskIndex right) {
                     return job.submission.tasks[left.value()].declared <
                            job.submission.tasks[right.value()].declared;
                   });
  return order;
}

}  // namespace

HomeJobs::HomeJobs(const EntryCoreSettings& configured, Ownership& owner,
                   AgentRegistry& registry, RefusalConfirmer& refusals,
                   EntryOutbox& effects)
    : settings(configured),
      ownership(owner),
      agents(registry),
      outbox(effects),
      health(configured.suspect_after, registry),
      queues(configured.placement_seed, registry),
      outstanding(registry, this->queues),
      context{owner,        registry,          this->jobs,
              this->queues, this->outstanding, effects},
      admission(configured.duplicate_window, registry),
      finisher(configured, this->context, this->admission, refusals),
      requeuer(this->context, this->finisher),
      lost_runs(configured, this->context, this->finisher, this->requeuer),
      early_refusals(this->context, this->admission, this->finisher),
      quarantine(this->context, this->early_refusals),
      losses(configured.duplicate_window),
      dispatcher(configured, this->context, this->health, this->losses,
                 this->early_refusals, this->finisher) {}

void HomeJobs::Accept(const JobSubmission& submission, const Waiter& waiter,
                      std::optional<EntryId> witness, EarlierRelays earlier,
                      Timestamp now) {
  const JobKey& key = submission.key;
  const RelayOrigin* origin = std::get_if<RelayOrigin>(&waiter);
  if (origin != nullptr && this->finisher.HasSettled(key, *origin)) {
    return;
  }
  if (const CachedAnswer* answer = this->finisher.FindAnswer(key)) {
    const bool same_body = submission.Matches(answer->body_digest);
    this->finisher.Answer(
        waiter, key,
        same_body ? answer->answer : JobAnswer::MayHaveRun(Reason::kKeyReused));
    return;
  }
  if (HomeJob* job = this->jobs.Find(key)) {
    if (!submission.Matches(job->submission.body_digest)) {
      this->finisher.Answer(waiter, key,
                            JobAnswer::MayHaveRun(Reason::kKeyReused));
      return;
    }
    job->waiters.push_back(waiter);
    if (witness) job->witnesses.insert(*witness);
    if (earlier == EarlierRelays::kOpen) job->earlier = earlier;
    this->Advance(*job, now);
    return;
  }
  if (this->ownership.IsCancelled(key)) {
    this->finisher.Answer(waiter, key,
                          JobAnswer::MayHaveRun(Reason::kCancelled));
    return;
  }
  if (submission.kind == SubmissionKind::kJoin) {
    this->finisher.Answer(waiter, key,
                          JobAnswer::MayHaveRun(Reason::kNotFound));
    return;
  }
  switch (this->ownership.StatusOf(submission, now)) {
    case KeyStatus::kIndeterminate:
      this->finisher.Answer(waiter, key,
                            JobAnswer::MayHaveRun(Reason::kHistoryLost));
      return;
    case KeyStatus::kClosed:
      this->finisher.Answer(waiter, key,
                            JobAnswer::MayHaveRun(Reason::kAnswerNotKept));
      return;
    case KeyStatus::kUnsettled:
      // A lost process may have started the key without a record of it here, at
      // the earliest one duplicate window ago.
      this->ownership.RememberInherited(
          {key, now - this->settings.duplicate_window}, now);
      this->Create(submission, waiter, witness, earlier, true, now);
      return;
    case KeyStatus::kInherited:
      this->Create(submission, waiter, witness, earlier, true, now);
      return;
    case KeyStatus::kFresh:
      this->Create(submission, waiter, witness, earlier, false, now);
      return;
  }
}

void HomeJobs::Create(const JobSubmission& submission, const Waiter& waiter,
                      std::optional<EntryId> witness, EarlierRelays earlier,
                      bool inherited, Timestamp now) {
  this->ownership.Remember({submission.key, now}, now);
  HomeJob& job = this->jobs.Add(submission, now);
  if (witness) job.witnesses.insert(*witness);
  job.inherited = inherited;
  job.earlier = earlier;
  job.waiters.push_back(waiter);
  ServiceState* service = this->queues.Of(job);
  if (service != nullptr && !inherited) {
    service->demand().Add(submission.group, submission.CoreTime(), now);
    service->urgent_reserve().Observe(submission.priority,
                                      submission.tasks.front().need, now);
  }
  const std::optional<Reason> refusal_reason =
      inherited ? std::nullopt : this->admission.Check(job, service, now);
  if (refusal_reason) {
    this->finisher.Refuse(job, *refusal_reason, now);
    return;
  }
  this->Advance(job, now);
}

void HomeJobs::Advance(HomeJob& job, Timestamp now) {
  if (job.phase == JobPhase::kRunning || job.phase == JobPhase::kRefusing) {
    return;
  }
  if (!this->IsWitnessed(job)) {
    if (this->jobs.Block(job.submission.key)) {
      this->RequestWitness(job, now);
    }
    return;
  }
  if (job.inherited) {
    job.phase = JobPhase::kAwaitingHistory;
    this->jobs.Block(job.submission.key);
    const HistoryState history = this->ownership.HistoryOf(job.submission, now);
    if (this->lost_runs.RefuseIfUnsettled(job, now)) return;
    if (history == HistoryState::kIncomplete) return;
    const std::vector<ReportedTask> found =
        this->ownership.ReportedTasks(job.submission.key);
    if (history == HistoryState::kLost && found.size() < job.tasks.size()) {
      this->finisher.Finish(job, JobAnswer::MayHaveRun(Reason::kAgentLost),
                            now);
      return;
    }
  }
  this->jobs.Unblock(job.submission.key);
  // The losses may have been reported while the job was not here.
  if (this->losses.IsGivenUp(job.submission.key)) {
    this->finisher.Finish(job, JobAnswer::Ran(Reason::kTaskCrashesUpstreams),
                          now);
    return;
  }
  this->StartRunning(job, now);
}

std::size_t HomeJobs::RequiredWitnesses(const HomeJob& job) const {
  // A later home that finds no record of the key of a rerunnable job queries
  // the agents before it starts the job.
  if (job.IsRerunnable()) return 0;
  constexpr std::size_t kWitnessesOfLeavingHome = 2;
  const std::size_t wanted = this->leaving ? kWitnessesOfLeavingHome : 1;
  const std::size_t members = this->ownership.view().members.size();
  return members > wanted ? wanted : 1;
}

void HomeJobs::RequestWitness(const HomeJob& job, Timestamp now) {
  const BucketId bucket = this->ownership.BucketOfKey(job.submission.key);
  std::set<EntryId> excluded = job.witnesses;
  excluded.insert(this->declining.begin(), this->declining.end());
  const std::optional<EntryId> witness =
      this->ownership.WitnessFor(bucket, excluded, now);
  if (!witness) return;
  const WitnessedKey key{{job.submission.key, job.accepted_at},
                         this->ownership.Promised(bucket)};
  this->outbox.ToPeer(*witness, WitnessRequest{{key}});
}

void HomeJobs::StartRunning(HomeJob& job, Timestamp now) {
  job.phase = JobPhase::kRunning;
  if (job.inherited) {
    for (const ReportedTask& found :
         this->ownership.ReportedTasks(job.submission.key)) {
      if (found.task.value() >= job.tasks.size()) continue;
      const bool may_run_again =
          job.IsRerunnable() &&
          this->ownership.RunsAreOver(found.agent, found.start, now);
      // The task is queued below.
      if (may_run_again) continue;
      TaskRecord& task = job.tasks[found.task.value()];
      if (task.phase == TaskPhase::kQuerying) {
        task.unsettled_agents.push_back(found.agent);
      } else {
        this->requeuer.Query(job, found);
      }
    }
  }
  for (const TaskIndex task : QueueOrder(job)) this->queues.AddTask(job, task);
}

void HomeJobs::Cancel(const JobKey& key, Timestamp now) {
  HomeJob* job = this->jobs.Find(key);
  if (job != nullptr) this->finisher.Abandon(*job, Reason::kCancelled, now);
}

std::vector<CallerJob> HomeJobs::Evict(BucketId bucket, Timestamp now) {
  const std::vector<JobKey> moved = this->jobs.KeysOf([&](const HomeJob& job) {
    return this->ownership.BucketOfKey(job.submission.key) == bucket;
  });
  std::vector<CallerJob> evicted;
  for (const JobKey& key : moved) {
    HomeJob& job = this->jobs.At(key);
    CallerJob evicted_job;
    for (const Waiter& waiter : job.waiters) {
      if (const RequestId* request = std::get_if<RequestId>(&waiter)) {
        evicted_job.callers.push_back(*request);
        continue;
      }
      this->finisher.ReturnRelay(key, std::get<RelayOrigin>(waiter),
                                 job.UnreportedStarts(), now);
    }
    if (!evicted_job.callers.empty()) {
      evicted_job.deadline = job.deadline;
      evicted_job.earlier = job.UnreportedStarts() == RelayedStarts::kPossible
                                ? EarlierRelays::kOpen
                                : job.earlier;
      evicted_job.submission = job.submission;
      evicted_job.submission.SetTimeLeft(job.TimeLeft(now));
      evicted.push_back(std::move(evicted_job));
    }
    this->finisher.Remove(job);
  }
  return evicted;
}

void HomeJobs::OnWitnessReply(EntryId from, const WitnessReply& reply,
                              Timestamp now) {
  for (const WitnessedKey& witnessed : reply.keys) {
    HomeJob* job = this->jobs.Find(witnessed.known.key);
    if (job == nullptr || this->IsWitnessed(*job)) continue;
    const BucketId bucket = this->ownership.BucketOfKey(witnessed.known.key);
    if (witnessed.ballot != this->ownership.Promised(bucket)) continue;
    job->witnesses.insert(from);
    if (!this->IsWitnessed(*job)) this->RequestWitness(*job, now);
    this->Advance(*job, now);
  }
  // An entry that leaves never witnesses again.
  if (!reply.declined.empty()) this->declining.insert(from);
  for (const WitnessedKey& refused : reply.declined) {
    const HomeJob* job = this->jobs.Find(refused.known.key);
    const bool needs_another = job != nullptr &&
                               this->jobs.IsBlocked(refused.known.key) &&
                               !this->IsWitnessed(*job);
    if (needs_another) this->RequestWitness(*job, now);
  }
}

void HomeJobs::OnTaskFinished(AgentId from, const TaskFinished& message,
                              Timestamp now) {
  KnownAgent* agent = this->agents.Find(from);
  if (agent != nullptr) this->NoteLoad(*agent, message.load);
  const TaskReport& report = message.report;
  HomeJob* job = this->jobs.Find(report.task.key);
  const bool known_task =
      job != nullptr && report.task.task.value() < job->tasks.size();
  if (known_task && agent != nullptr) {
    ServiceState* service = this->queues.Of(*job);
    if (service != nullptr) {
      const Duration declared =
          job->submission.tasks[report.task.task.value()].declared;
      if (report.outcome == TaskOutcome::kSucceeded) {
        this->health.ObserveSuccess(*agent, *service, declared,
                                    message.elapsed);
        this->ObserveNeighbours(*job, *service, *agent, message, now);
      } else {
        this->health.ObserveFailure(*agent, *service, now);
      }
    }
  }
  if (report.outcome != TaskOutcome::kSucceeded) {
    this->OnUpstreamLosses({{report.task, report.losses}}, now);
  }
  this->OnRunCompleted(from, report, now);
}

void HomeJobs::ObserveNeighbours(const HomeJob& job, ServiceState& service,
                                 const KnownAgent& agent,
                                 const TaskFinished& message, Timestamp now) {
  if (!service.KeepsApart()) return;
  const TaskRequest& request =
      job.submission.tasks[message.report.task.task.value()];
  const std::uint64_t capacity = message.load.capacity.millicores;
  if (capacity == 0) return;
  // The task itself is no longer in the report.
  const std::uint64_t used =
      message.load.running.millicores + request.need.millicores;
  service.interference().Observe(
      {job.submission.group, agent.agent, request.declared, message.elapsed,
       job.tasks.size(),
       static_cast<double>(used) / static_cast<double>(capacity),
       message.neighbours},
      now);
}

void HomeJobs::UpdateInterference(Timestamp now) {
  for (auto& [name, service] : this->queues.all()) {
    for (const SuspicionStep& step : service.interference().Update(now)) {
      constexpr double kPercent = 100;
      const Suspicion& suspicion = step.suspicion;
      this->outbox.Add(InterferenceChanged{
          step.phase, name, suspicion.victim, suspicion.neighbour,
          static_cast<std::uint32_t>(suspicion.slowdown * kPercent)});
    }
  }
}

std::vector<ServiceSuspicions> HomeJobs::Suspicions() const {
  std::vector<ServiceSuspicions> all;
  for (const auto& [name, service] : this->queues.all()) {
    if (!service.KeepsApart()) continue;
    all.push_back({name, service.interference().suspicions()});
  }
  return all;
}

JobPreview HomeJobs::Preview(const JobSubmission& submission, Timestamp now) {
  JobPreview preview;
  const JobKey& key = submission.key;
  const bool is_known =
      this->jobs.Find(key) != nullptr ||
      this->finisher.FindAnswer(key) != nullptr ||
      this->ownership.IsCancelled(key) ||
      this->ownership.StatusOf(submission, now) != KeyStatus::kFresh;
  if (is_known) {
    preview.outlook = JobOutlook::kKnownKey;
    return preview;
  }
  HomeJob job = NewHomeJob(submission, now);
  const ServiceState* service = this->queues.Of(job);
  const std::optional<Reason> refusal =
      this->admission.Check(job, service, now);
  if (refusal) {
    preview.outlook = JobOutlook::kRefused;
    preview.refusal = *refusal;
    preview.retry_after = this->finisher.RetryAfter(job, preview.refusal, now);
  }
  if (service == nullptr || submission.tasks.empty()) return preview;
  preview.queued_tasks = service->queued_tasks();
  job.queued = QueueOrder(job);
  const Duration longest = submission.tasks[job.queued.back().value()].declared;
  ServiceState copy = *service;
  preview.placement = this->dispatcher.Preview(job, copy, now);
  if (refusal) return preview;
  const bool starts = preview.queued_tasks == 0 && preview.placement.chosen;
  preview.outlook = starts ? JobOutlook::kStarts : JobOutlook::kWaits;
  if (!starts) {
    preview.expected_start =
        this->admission.ExpectedWait(*service, submission.group, now);
  }
  preview.expected_end =
      preview.expected_start +
      Duration(static_cast<std::int64_t>(static_cast<double>(longest.count()) *
                                         service->declared_error()));
  return preview;
}

void HomeJobs::OnUpstreamLosses(const std::vector<TaskLosses>& reported,
                                Timestamp now) {
  for (const TaskLosses& item : reported) {
    if (item.losses.empty()) continue;
    this->losses.Record(item.task, item.losses, now);
    if (!this->losses.IsGivenUp(item.task)) continue;
    HomeJob* job = this->jobs.Find(item.task.key);
    const bool is_open =
        job != nullptr && item.task.task.value() < job->tasks.size() &&
        job->tasks[item.task.task.value()].phase != TaskPhase::kSucceeded;
    if (!is_open) continue;
    this->finisher.Finish(*job, JobAnswer::Ran(Reason::kTaskCrashesUpstreams),
                          now);
  }
}

void HomeJobs::OnRunCompleted(AgentId from, const TaskReport& report,
                              Timestamp now) {
  HomeJob* job = this->jobs.Find(report.task.key);
  if (job == nullptr || report.task.task.value() >= job->tasks.size()) return;
  TaskRecord& task = job->tasks[report.task.task.value()];
  if (!task.IsOutstandingAt(from)) return;
  // A rerunnable task may have been started at the same agent again since. A
  // success counts no matter which start it belongs to.
  const bool stale = job->IsRerunnable() && task.IsStale(report.start) &&
                     report.outcome != TaskOutcome::kSucceeded;
  if (stale) return;
  this->outstanding.Remove(*job, report.task.task);
  if (report.outcome == TaskOutcome::kFailed) ++task.failures;
  if (TaskRequeuer::MayRunAgain(*job, task, report.outcome)) {
    this->requeuer.Requeue(*job, report.task.task,
                           report.outcome == TaskOutcome::kFailed
                               ? Reason::kTaskFailed
                               : Reason::kUpstreamBroken,
                           now);
    return;
  }
  task.phase = TaskPhase::kSucceeded;
  if (report.outcome == TaskOutcome::kFailed) {
    this->finisher.Finish(*job, JobAnswer::Ran(Reason::kTaskFailed), now);
    return;
  }
  if (report.outcome == TaskOutcome::kUnknown) {
    this->finisher.Finish(*job, JobAnswer::MayHaveRun(Reason::kUpstreamBroken),
                          now);
    return;
  }
  if (!report.result_kept) {
    this->finisher.Finish(*job, JobAnswer::Ran(Reason::kAnswerNotKept), now);
    return;
  }
  task.result = report.result;
  ++job->succeeded;
  if (job->succeeded < job->tasks.size()) return;
  std::vector<Payload> results;
  results.reserve(job->tasks.size());
  for (const TaskRecord& done : job->tasks) results.push_back(done.result);
  this->finisher.Finish(*job, JobAnswer::Complete(std::move(results)), now);
}

void HomeJobs::OnTaskNotRun(AgentId from, const TaskNotRun& message,
                            Timestamp now) {
  KnownAgent* agent = this->agents.Find(from);
  if (agent != nullptr) {
    this->NoteLoad(*agent, message.load);
    if (message.reason == Reason::kUpstreamUnreachable) {
      this->health.ObserveUnreachable(*agent, now);
    }
  }
  HomeJob* job = this->jobs.Find(message.task.key);
  if (job == nullptr || message.task.task.value() >= job->tasks.size()) return;
  TaskRecord& task = job->tasks[message.task.task.value()];
  if (task.phase != TaskPhase::kStarted || task.agent != from) return;
  // After a reconnection an agent may repeat a refusal, while the task has been
  // started there again since the first one.
  if (task.IsStale(message.start)) return;
  this->outstanding.Remove(*job, message.task.task);
  --job->started;
  if (message.reason == Reason::kNoFreeSlot && agent != nullptr) {
    const TaskRequest& request =
        job->submission.tasks[message.task.task.value()];
    this->health.ObserveFull(*agent, request.need, now);
  }
  this->requeuer.Requeue(*job, message.task.task, message.reason, now);
}

void HomeJobs::OnRenounceReply(AgentId from, const RenounceReply& message,
                               Timestamp now) {
  const TaskReport& report = message.report;
  if (report.outcome != TaskOutcome::kSucceeded) {
    this->OnUpstreamLosses({{report.task, report.losses}}, now);
  }
  if (report.state == StartedState::kFinished) {
    this->OnRunCompleted(from, report, now);
    return;
  }
  HomeJob* job = this->jobs.Find(report.task.key);
  if (job == nullptr || report.task.task.value() >= job->tasks.size()) return;
  TaskRecord& task = job->tasks[report.task.task.value()];
  if (!task.IsOutstandingAt(from)) return;
  if (task.IsStale(report.start)) return;
  if (report.state == StartedState::kRunning) {
    task.phase = TaskPhase::kStarted;
    return;
  }
  const bool may_run_again = job->IsRerunnable();
  if (task.phase == TaskPhase::kQuerying && !may_run_again) {
    // The agent had started the task, but no longer has a record of it.
    this->finisher.Finish(*job, JobAnswer::MayHaveRun(Reason::kAnswerNotKept),
                          now);
    return;
  }
  this->outstanding.Remove(*job, report.task.task);
  --job->started;
  this->requeuer.Requeue(*job, report.task.task, Reason::kRenounced, now);
}

void HomeJobs::OnAgentLoad(AgentId from, const AgentLoad& load) {
  KnownAgent* agent = this->agents.Find(from);
  if (agent == nullptr) return;
  this->NoteLoad(*agent, load);
  // An agent that reports no free capacity keeps its record of the demand.
  if (load.HasFreeCapacity()) agent->demand_notified = false;
}

void HomeJobs::NoteLoad(KnownAgent& agent, const AgentLoad& load) {
  agent.NoteLoad(load);
  for (const SentStart& start : agent.TakeConfirmedStarts()) {
    HomeJob* job = this->jobs.Find(start.task.key);
    // After a refusal another job may have come under the same key.
    const bool is_known =
        job != nullptr && start.task.task.value() < job->tasks.size();
    if (!is_known) continue;
    TaskRecord& task = job->tasks[start.task.task.value()];
    const bool is_latest = task.start == start.number;
    if (is_latest) task.confirmation = StartConfirmation::kConfirmed;
  }
}

void HomeJobs::OnRunningGroups(AgentId from,
                               const std::vector<JobGroupId>& groups) {
  KnownAgent* agent = this->agents.Find(from);
  if (agent != nullptr) agent->groups.NoteReported(groups);
}

void HomeJobs::OnAgentConnected(AgentId agent) {
  for (const TaskId& id : this->outstanding.StartedAt(agent)) {
    const HomeJob* job = this->jobs.Find(id.key);
    if (job == nullptr) continue;
    const BucketId bucket = this->ownership.BucketOfKey(id.key);
    this->outbox.ToAgent(agent,
                         Renounce{id, this->ownership.Promised(bucket),
                                  job->tasks[id.task.value()].start.attempt});
  }
}

std::vector<ServiceBacklog> HomeJobs::Backlogs() {
  std::vector<ServiceBacklog> backlogs;
  for (const auto& [name, service] : this->queues.all()) {
    const Backlog backlog = service.OwnBacklog();
    if (backlog != Backlog()) backlogs.push_back({name, backlog});
  }
  return backlogs;
}

void HomeJobs::NotePeerBacklogs(EntryId from,
                                const std::vector<ServiceBacklog>& told,
                                Timestamp now) {
  this->peer_backlogs.Note(from, told, now);
}

void HomeJobs::ApplyPeerBacklogs(Timestamp now) {
  for (auto& [name, service] : this->queues.all()) {
    const bool competes =
        service.placement_kind() == PlacementKind::kSoonestEnd;
    service.NotePeerBacklog(competes ? this->peer_backlogs.Of(name, now)
                                     : Backlog());
  }
}

void HomeJobs::Tick(Timestamp now) {
  this->ApplyPeerBacklogs(now);
  this->quarantine.Tick(now);
  this->UpdateInterference(now);
  this->early_refusals.AbandonBeforeDeadlines(now);
  this->early_refusals.RefuseUnservable(now);
  this->early_refusals.RefuseEvacuated(now);
  this->lost_runs.RequeueEnded(now);
  this->AdvanceBlocked(now);
  this->finisher.Expire(now);
  this->losses.Expire(now);
}

void HomeJobs::AdvanceBlocked(Timestamp now) {
  const std::set<JobKey> waiting = this->jobs.blocked();
  for (const JobKey& key : waiting) {
    HomeJob* job = this->jobs.Find(key);
    if (job != nullptr) this->Advance(*job, now);
  }
}

void HomeJobs::RepeatRequests(Timestamp now) {
  for (const JobKey& key : this->jobs.blocked()) {
    const HomeJob* job = this->jobs.Find(key);
    if (job != nullptr && !this->IsWitnessed(*job)) {
      this->RequestWitness(*job, now);
    }
  }
}

}  // namespace dandelionspur
