#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOBS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOBS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/admission.h"
#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/caller_job.h"
#include "libraries/entry_core/contention/peer_backlogs.h"
#include "libraries/entry_core/early_refusals.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/home_context.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/job_finisher.h"
#include "libraries/entry_core/job_table.h"
#include "libraries/entry_core/lost_runs.h"
#include "libraries/entry_core/outstanding_tasks.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/quarantine_control.h"
#include "libraries/entry_core/refusal_confirmer.h"
#include "libraries/entry_core/service_queues.h"
#include "libraries/entry_core/task_dispatcher.h"
#include "libraries/entry_core/task_requeuer.h"
#include "libraries/entry_core/upstream_health.h"
#include "libraries/protocol/upstream_losses.h"

namespace dandelionspur {

struct ServiceSuspicions {
  ServiceName service;
  std::vector<Suspicion> suspicions;
};

// The jobs whose home is this entry, that is, whose keys fall into buckets that
// this entry owns. Handles admission, queueing, placement, retries and answers.
class HomeJobs {
 public:
  HomeJobs(const EntryCoreSettings& configured, Ownership& owner,
           AgentRegistry& registry, RefusalConfirmer& refusals,
           EntryOutbox& effects);

  void ApplyDocument(ServiceDocument document) {
    if (!document.interference) {
      document.interference = this->settings.interference;
    }
    if (!document.placement) document.placement = this->settings.placement;
    this->queues.ApplyDocument(document);
  }

  // Accepts a submission of a key whose bucket is active at this entry.
  // `witness` is set if another entry of the view has already recorded the key.
  void Accept(const JobSubmission& submission, const Waiter& waiter,
              std::optional<EntryId> witness, EarlierRelays earlier,
              Timestamp now);
  // Ends the job, if there is one. Its key is recorded as cancelled.
  void Cancel(const JobKey& key, Timestamp now);
  // Notifies the sender of a relay that this entry will not act on the relay
  // any more, and whether it may have done so before.
  void ReturnRelay(const JobKey& key, const RelayOrigin& origin,
                   RelayedStarts starts, Timestamp now) {
    this->finisher.ReturnRelay(key, origin, starts, now);
  }
  // Removes the jobs of a bucket that has moved to another home. Relays by
  // other entries are returned to them; jobs with callers of this entry are
  // returned to the caller of this function.
  std::vector<CallerJob> Evict(BucketId bucket, Timestamp now);

  // From now on the key of a job needs two witnesses before the first start,
  // since this entry leaves the view and will not report the key to a later
  // home.
  void BeginDeparture() { this->leaving = true; }

  void OnWitnessReply(EntryId from, const WitnessReply& reply, Timestamp now);
  void OnTaskFinished(AgentId from, const TaskFinished& message, Timestamp now);
  void OnTaskNotRun(AgentId from, const TaskNotRun& message, Timestamp now);
  void OnRenounceReply(AgentId from, const RenounceReply& message,
                       Timestamp now);
  // Records losses of upstreams under tasks, and ends the jobs whose tasks have
  // thereby reached the limit.
  void OnUpstreamLosses(const std::vector<TaskLosses>& reported, Timestamp now);
  // Records the losses that the agent reports of its own upstream.
  void OnRecentLosses(AgentId from, const std::vector<RecentLoss>& reported,
                      Timestamp now) {
    this->quarantine.OnRecentLosses(from, reported, now);
  }
  void OnAgentLoad(AgentId from, const AgentLoad& load);
  // Records which groups run at the agent's upstream.
  void OnRunningGroups(AgentId from, const std::vector<JobGroupId>& groups);
  // The total capacity of an upstream of the service has shrunk. Refuses the
  // queued jobs that no upstream can hold any more.
  void OnCapacityShrunk(const ServiceName& service, Timestamp now) {
    this->early_refusals.RefuseOversized(service, now);
  }
  // Data centres were evacuated or have returned.
  void OnEvacuationChanged(Timestamp now) {
    this->early_refusals.RefuseEvacuated(now);
  }
  void OnRefusalsConfirmed(const std::vector<ConfirmedRefusal>& confirmed,
                           Timestamp now) {
    this->finisher.OnRefusalsConfirmed(confirmed, now);
  }
  // The agent has connected or reconnected. Queries the state of tasks that
  // were sent to it earlier.
  void OnAgentConnected(AgentId agent);
  void OnAgentLost(AgentId agent, AgentRuns runs, Timestamp now) {
    this->lost_runs.OnAgentLost(agent, runs, now);
  }
  // Advances the jobs that wait for a witness or for reports of what the agents
  // have started.
  void AdvanceBlocked(Timestamp now);

  // Records the bytes of starts and relays that wait for the link.
  void NoteSendBacklog(std::uint64_t bytes, Timestamp now) {
    this->dispatcher.NoteSendBacklog(bytes, now);
  }
  // What this entry queues, by service, for the other entries.
  [[nodiscard]] std::vector<ServiceBacklog> Backlogs();
  // Records what another entry queues.
  void NotePeerBacklogs(EntryId from, const std::vector<ServiceBacklog>& told,
                        Timestamp now);
  void Tick(Timestamp now);
  // Repeats the requests to witnesses that have not answered.
  void RepeatRequests(Timestamp now);
  // The groups of each service that slow down others, as of the latest tick.
  [[nodiscard]] std::vector<ServiceSuspicions> Suspicions() const;
  // What would become of a new job of which this entry is the home; decided by
  // the same code, on a copy of its service's state.
  [[nodiscard]] JobPreview Preview(const JobSubmission& submission,
                                   Timestamp now);
  // Starts queued tasks while agents have free capacity. Call after every
  // event.
  void Dispatch(Timestamp now) { this->dispatcher.Dispatch(now); }

  // Number of jobs.
  [[nodiscard]] std::size_t size() const { return this->jobs.size(); }
  // The memory that the jobs take, approximately, without kept answers.
  [[nodiscard]] std::uint64_t HeldBytes() const {
    return this->jobs.HeldBytes();
  }
  [[nodiscard]] std::uint64_t kept_answer_bytes() const {
    return this->finisher.kept_answer_bytes();
  }
  // Number of tasks sent to the agent that have not completed.
  [[nodiscard]] std::size_t StartedAt(AgentId agent) const {
    return this->outstanding.CountAt(agent);
  }
  // Number of those whose starts aren't confirmed.
  [[nodiscard]] std::size_t UnconfirmedAt(AgentId agent) {
    return this->lost_runs.UnconfirmedAt(agent);
  }
  [[nodiscard]] const CachedAnswer* FindAnswer(const JobKey& key) const {
    return this->finisher.FindAnswer(key);
  }

 private:
  void Create(const JobSubmission& submission, const Waiter& waiter,
              std::optional<EntryId> witness, EarlierRelays earlier,
              bool inherited, Timestamp now);
  // Starts to run the job if its key is witnessed and, for an inherited key,
  // all agents have reported what they started. Otherwise the job is blocked,
  // or answered "may have run" if the missing agent is lost.
  void Advance(HomeJob& job, Timestamp now);
  [[nodiscard]] std::size_t RequiredWitnesses(const HomeJob& job) const;
  [[nodiscard]] bool IsWitnessed(const HomeJob& job) const {
    return job.witnesses.size() >= this->RequiredWitnesses(job);
  }
  // Asks a further entry to record the job's key.
  void RequestWitness(const HomeJob& job, Timestamp now);
  void StartRunning(HomeJob& job, Timestamp now);
  // Applies the agent's report of its load, and of the starts that are
  // confirmed.
  void NoteLoad(KnownAgent& agent, const AgentLoad& load);
  // Applies the outcome of a run, if its task is outstanding at `from`.
  void OnRunCompleted(AgentId from, const TaskReport& report, Timestamp now);
  // Brings what the other entries queue to the service states.
  void ApplyPeerBacklogs(Timestamp now);
  // Records how long a task of the job took, and beside which groups.
  void ObserveNeighbours(const HomeJob& job, ServiceState& service,
                         const KnownAgent& agent, const TaskFinished& message,
                         Timestamp now);
  void UpdateInterference(Timestamp now);

  EntryCoreSettings settings;
  Ownership& ownership;
  AgentRegistry& agents;
  EntryOutbox& outbox;
  UpstreamHealth health;
  JobTable jobs;
  ServiceQueues queues;
  OutstandingTasks outstanding;
  HomeContext context;
  Admission admission;
  JobFinisher finisher;
  TaskRequeuer requeuer;
  LostRuns lost_runs;
  EarlyRefusals early_refusals;
  QuarantineControl quarantine;
  UpstreamLosses losses;
  TaskDispatcher dispatcher;
  PeerBacklogs peer_backlogs;
  // The entries that have declined to witness, since they leave the view.
  std::set<EntryId> declining;
  bool leaving = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOBS_H_
