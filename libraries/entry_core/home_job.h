#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOB_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOB_H_

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "libraries/entry_core/answer_times.h"
#include "libraries/protocol/agent_messages.h"
#include "libraries/protocol/entry_messages.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

// The entry that relayed a submission, and the number of that relay.
struct RelayOrigin {
  EntryId entry;
  AttemptNumber attempt;
};

// Whether another entry may still start tasks for an earlier relay of a
// submission, or may have started some of which a later home does not learn. A
// refusal by this entry says nothing about those starts, so while a relay is
// open the answer must not be "not run".
enum class EarlierRelays { kSettled, kOpen };

// The receiver of a job's answer: a caller of this entry, or the entry that
// relayed the job.
using Waiter = std::variant<RequestId, RelayOrigin>;

enum class TaskPhase {
  kQueued,
  kStarted,
  // Found in an agent's started set after a change of home. A Renounce message
  // queries the task's state at that agent.
  kQuerying,
  kSucceeded,
};

// The state of one task at the home of its job.
struct TaskRecord {
  TaskPhase phase = TaskPhase::kQueued;
  AgentId agent;
  // The latest start sent by this home. Attempt 0 stands for a start by an
  // earlier home, found in an agent's started set.
  StartNumber start;
  StartConfirmation confirmation = StartConfirmation::kUnconfirmed;
  // Number of runs that completed with outcome kFailed.
  std::uint32_t failures = 0;
  // Set when the task is queued again because of a refused start or a failed
  // run, but not for lack of a free slot or for an evacuation.
  bool retried = false;
  // The latest start was sent with losses under which the task is suspected.
  bool started_as_suspect = false;
  // Further agents that have reported a run of the task to this home. Each of
  // them must have settled its run before the task may be started.
  std::vector<AgentId> unsettled_agents;
  Payload result;

  // Whether the task was started and its completion is still pending.
  [[nodiscard]] bool IsOutstanding() const {
    return this->phase == TaskPhase::kStarted ||
           this->phase == TaskPhase::kQuerying;
  }
  // The same for a start at `from`.
  [[nodiscard]] bool IsOutstandingAt(AgentId from) const {
    return this->IsOutstanding() && this->agent == from;
  }
  // Whether an agent's report concerns another start than the latest one. Not
  // decidable, hence false, for a start by an earlier home.
  [[nodiscard]] bool IsStale(const StartNumber& reported) const {
    return this->start.attempt != 0 && reported != this->start;
  }
};

enum class JobPhase {
  // Witnesses must record the key before the first task is started.
  kAwaitingWitness,
  // The agents must report the tasks that a former home started.
  kAwaitingHistory,
  kRunning,
  // The refusal is being confirmed by other entries; the job is answered "not
  // run" as soon as it is proven that no task ran.
  kRefusing,
};

// A job at its home, the entry that owns the bucket of the job's key.
struct HomeJob {
  JobSubmission submission;
  Timestamp accepted_at;
  Timestamp deadline;
  JobPhase phase = JobPhase::kAwaitingWitness;
  // The other entries that have recorded the key as witnesses.
  std::set<EntryId> witnesses;
  // The key was received from the bucket's former home or from other entries,
  // from before this entry's ballot, so a former home may have started tasks.
  bool inherited = false;
  EarlierRelays earlier = EarlierRelays::kSettled;
  // Meaningful in phase kRefusing.
  Reason refusal = Reason::kComplete;
  Duration retry_after{};
  std::vector<Waiter> waiters;
  std::vector<TaskRecord> tasks;
  // Tasks to start. The next one is at the back.
  std::vector<TaskIndex> queued;
  std::uint32_t succeeded = 0;
  // Number of starts not proven "not run". Completed runs count, too.
  std::uint32_t started = 0;
  // Sum of the declared core times of the queued tasks.
  Duration queued_work{};
  // Sort key in the service's queue, lowest first. Meaningful while
  // `is_queued`.
  std::int64_t rank = 0;
  bool is_queued = false;
  // In the queue of its group, which was quarantined when it was queued.
  bool is_quarantined = false;
  // In the queue of the jobs that can no longer be answered by DueAt().
  bool is_late = false;

  // Whether tasks of the job may be started again even if an earlier start may
  // have run.
  [[nodiscard]] bool IsRerunnable() const {
    return this->submission.rerun == RerunPolicy::kAfterLease;
  }
  // The latency objective as a point in time. Without an objective, the
  // deadline.
  [[nodiscard]] Timestamp DueAt() const {
    return this->submission.objective > Duration()
               ? std::min(this->deadline, this->accepted_at +
                                              this->submission.objective -
                                              this->submission.waited)
               : this->deadline;
  }
  // The time after which an answer is of no use to the caller.
  [[nodiscard]] Timestamp UsefulUntil() const {
    return std::min(this->deadline,
                    this->accepted_at + this->submission.UsefulTime());
  }
  // The latest time to start all queued tasks at once if the job is to complete
  // by DueAt(). `stretch` is the ratio of actual to declared task time.
  [[nodiscard]] Timestamp LatestStart(double stretch) const {
    Duration longest{};
    for (const TaskIndex task : this->queued) {
      longest =
          std::max(longest, this->submission.tasks[task.value()].declared);
    }
    return this->DueAt() - Duration(static_cast<std::int64_t>(
                               static_cast<double>(longest.count()) * stretch));
  }
  // How much later a task can be started and still end by DueAt(); nothing if
  // that is no longer possible. `slowness`: actual over declared task time.
  [[nodiscard]] std::optional<Duration> SlackOf(Duration declared,
                                                double slowness,
                                                Timestamp now) const {
    const Duration run_time(static_cast<std::int64_t>(
        static_cast<double>(declared.count()) * slowness));
    const Duration slack = this->DueAt() - now - run_time;
    if (slack < Duration()) return std::nullopt;
    return slack;
  }
  // True if neither this home nor a former one can have run a task of the job:
  // the key is not inherited, and each start by this home was proven "not run".
  // Doesn't consider starts for earlier relays (`earlier`).
  [[nodiscard]] bool HasNoStarts() const {
    return this->started == 0 && !this->inherited;
  }
  // Whether tasks may have run of which a later home does not learn: runs of
  // jobs that may run again are not reported once they ended without success.
  [[nodiscard]] RelayedStarts UnreportedStarts() const {
    return this->IsRerunnable() && !this->HasNoStarts()
               ? RelayedStarts::kPossible
               : RelayedStarts::kNone;
  }
  // The time at which a job without starts is refused, which leaves enough time
  // to confirm the refusal before the deadline.
  [[nodiscard]] Timestamp RefuseBy() const {
    return DecideBy(this->deadline, this->submission.time_allowed,
                    kRefusalLead);
  }
  // The time at which the callers are answered even if tasks or confirmations
  // are still outstanding.
  [[nodiscard]] Timestamp AnswerBy() const {
    return DecideBy(this->deadline, this->submission.time_allowed,
                    kHomeAnswerLead);
  }
  // Zero once the deadline has passed.
  [[nodiscard]] Duration TimeLeft(Timestamp now) const {
    return std::max(Duration(), this->deadline - now);
  }
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOB_H_
