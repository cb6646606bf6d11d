#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOBS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/kept_answers.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/refusal_confirmer.h"
#include "libraries/entry_core/service_state.h"
#include "libraries/entry_core/settled_attempts.h"
#include "libraries/entry_core/upstream_health.h"

namespace dandelionspur {

// A submission whose home has moved, with the callers of this entry that wait
// for it.
struct EvictedJob {
  JobSubmission submission;
  Timestamp deadline;
  std::vector<RequestId> callers;
  EarlierRelays earlier = EarlierRelays::kSettled;
};

// Whether what a lost agent has started may still be running at its upstream.
enum class AgentRuns { kMayGoOn, kOver };

// The jobs of the buckets that this entry is home of: admission, queueing,
// placement, retries, and the answer.
class HomeJobs {
 public:
  HomeJobs(const EntryCoreSettings& configured, Ownership& owner,
           AgentRegistry& registry, RefusalConfirmer& refusals,
           EntryOutbox& effects);

  void ApplyDocument(const ServiceDocument& document);

  // Takes in a submission of a key whose bucket is active here. `witness` is
  // set where another entry of the view already knows the key.
  void Accept(const JobSubmission& submission, const Waiter& waiter,
              std::optional<EntryId> witness, EarlierRelays earlier,
              Timestamp now);
  void Cancel(const JobKey& key, Timestamp now);
  // Tells the sender of a relay that this entry won't act on it.
  void ReturnRelay(const JobKey& key, const RelayOrigin& origin, Timestamp now);
  // Gives up the jobs of a bucket that moved; other entries that wait are
  // told.
  std::vector<EvictedJob> Evict(BucketId bucket, Timestamp now);

  void OnWitnessReply(const WitnessReply& reply, Timestamp now);
  void OnTaskFinished(AgentId from, const TaskFinished& message, Timestamp now);
  void OnTaskNotRun(AgentId from, const TaskNotRun& message, Timestamp now);
  void OnRenounceReply(AgentId from, const RenounceReply& message,
                       Timestamp now);
  void OnAgentLoad(AgentId from, const AgentLoad& load);
  void OnRefusalsConfirmed(const std::vector<ConfirmedRefusal>& confirmed,
                           Timestamp now);
  // The agent is connected (again): asks what became of tasks sent before.
  void OnAgentConnected(AgentId agent);
  void OnAgentLost(AgentId agent, AgentRuns runs, Timestamp now);
  // Queues again what may run again and was started at agents whose leases
  // must be over: lost, frozen or cut off.
  void RunAgainAfterLeases(Timestamp now);
  // An agent has told what it started: jobs that wait for it may go on.
  void OnHistoryGrown(Timestamp now);

  void Tick(Timestamp now);
  // Asks the witnesses again that have not answered.
  void RepeatRequests(Timestamp now);
  // Starts queued tasks while agents have room. Call after every event.
  void Dispatch(Timestamp now);

  [[nodiscard]] std::size_t size() const { return this->jobs.size(); }
  // Tasks sent to the agent that have not ended.
  [[nodiscard]] std::size_t StartedAt(AgentId agent) const {
    const auto found = this->outstanding.find(agent);
    return found == this->outstanding.end() ? 0 : found->second.size();
  }
  [[nodiscard]] const KeptAnswer* FindAnswer(const JobKey& key) const {
    return this->kept.Find(key);
  }

 private:
  [[nodiscard]] HomeJob* Find(const JobKey& key);
  [[nodiscard]] ServiceState* Service(const HomeJob& job);
  void AnswerWaiter(const Waiter& waiter, const JobKey& key,
                    const JobAnswer& answer);
  void Create(const JobSubmission& submission, const Waiter& waiter,
              std::optional<EntryId> witness, EarlierRelays earlier,
              bool inherited, Timestamp now);
  // The reason to refuse a job that has just come in, if there is one.
  std::optional<Reason> AdmissionObstacle(const HomeJob& job, Timestamp now);
  void Refuse(HomeJob& job, Reason reason, Timestamp now);
  // Moves a job on as far as its witness and its history allow.
  void Advance(HomeJob& job, Timestamp now);
  void AskWitness(const HomeJob& job, Timestamp now);
  void StartRunning(HomeJob& job);
  void QueueTask(HomeJob& job, TaskIndex task);
  void LeaveQueue(HomeJob& job);
  // Time until what is queued now has been started.
  [[nodiscard]] Duration ExpectedWait(const ServiceState& service) const;
  // Answers the jobs whose callers would not get a later answer in time.
  void EndBeforeDeadlines(Timestamp now);
  // Refuses untouched jobs that were set back and can't be served any more
  // before their deadlines.
  void RefuseHopeless(Timestamp now);
  // Queued jobs that can't meet their objective any more go to the end.
  void SetBackOverdue(ServiceState& service, Timestamp now);
  void DispatchService(ServiceState& service, Timestamp now);
  // The agents that have room for a task, in `candidates`.
  void CollectCandidates(const HomeJob& job, const TaskRecord& task,
                         Timestamp now);
  // Chooses among the candidates; nullptr where none may be used.
  [[nodiscard]] KnownAgent* ChooseAgent(const HomeJob& job,
                                        ServiceState& service);
  void StartTask(HomeJob& job, TaskIndex task, KnownAgent& agent,
                 PlacementReason reason, Timestamp now);
  void TellDemand(ServiceState& service, Timestamp now);
  // Applies how a task ended, if the job still waits for it.
  void OnTaskEnded(AgentId from, const TaskReport& report, Timestamp now);
  // Whether a task whose run has ended so may be started once more.
  static bool MayRunAgain(const HomeJob& job, const TaskRecord& task,
                          TaskOutcome outcome);
  void TaskNoLongerStarted(HomeJob& job, TaskRecord& task);
  // Queues a task again: its start was proven "not run", or its run is over
  // and it may run again. Failures count against the retry budget; a start
  // that found no room is none.
  void Requeue(HomeJob& job, TaskIndex index, Reason reason, Timestamp now);
  // Ends a job whose callers wait too long or do not want it any more.
  void Abandon(HomeJob& job, Reason reason, Timestamp now);
  // Gives the final answer, stops what still runs, and forgets the job.
  void Finish(HomeJob& job, const JobAnswer& answer, Timestamp now);
  void Erase(HomeJob& job);

  EntryCoreSettings settings;
  Ownership& ownership;
  AgentRegistry& agents;
  RefusalConfirmer& confirmer;
  EntryOutbox& outbox;
  UpstreamHealth health;
  std::map<ServiceName, ServiceState> services;
  std::unordered_map<JobKey, HomeJob> jobs;
  std::set<std::pair<Timestamp, JobKey>> deadlines;
  // Jobs that wait for a witness or for the agents' histories.
  std::set<JobKey> blocked;
  // Tasks sent to each agent that have not ended.
  std::map<AgentId, std::set<TaskId>> outstanding;
  // Numbers all starts of this home, so that a job that is submitted again
  // begins with higher numbers.
  std::uint32_t last_start = 0;
  // Kept between decisions only for its memory.
  Candidates candidates;
  KeptAnswers kept;
  SettledAttempts settled_attempts;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOBS_H_
