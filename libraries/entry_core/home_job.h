#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOB_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOB_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "libraries/entry_core/answer_times.h"
#include "libraries/protocol/agent_messages.h"
#include "libraries/protocol/entry_messages.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

// Where a relayed submission came from.
struct RelayOrigin {
  EntryId entry;
  AttemptNumber attempt;
};

// Whether another entry may still act on an earlier relay of a submission. A
// refusal here doesn't bind that entry.
enum class EarlierRelays { kSettled, kOpen };

// Who waits for a job's answer: a caller of this entry, or another entry.
using Waiter = std::variant<RequestId, RelayOrigin>;

enum class TaskPhase {
  kQueued,
  kStarted,
  // Found in an agent's started set after a change of home; its state is
  // being asked for.
  kQuerying,
  kSucceeded,
};

struct TaskRecord {
  TaskPhase phase = TaskPhase::kQueued;
  AgentId agent;
  // The latest start by this home; attempt 0 for one that was found.
  StartNumber start;
  // Runs that ended as failed.
  std::uint32_t failures = 0;
  // A start of this task was refused before, but not for want of room.
  bool retried = false;
  Payload result;

  // Whether the task is expected to end at `from`.
  [[nodiscard]] bool IsAwaitedFrom(AgentId from) const {
    return (this->phase == TaskPhase::kStarted ||
            this->phase == TaskPhase::kQuerying) &&
           this->agent == from;
  }
  // Whether what an agent says is about an earlier start than the latest.
  [[nodiscard]] bool IsStale(const StartNumber& told) const {
    return this->start.attempt != 0 && told != this->start;
  }
};

enum class JobPhase {
  // Another entry must know the key before the first start.
  kAwaitingWitness,
  // The agents must tell what a former home started.
  kAwaitingHistory,
  kRunning,
  // Will be answered "not run" once that is proven.
  kRefusing,
};

// A job at its home.
struct HomeJob {
  JobSubmission submission;
  Timestamp accepted_at;
  Timestamp deadline;
  JobPhase phase = JobPhase::kAwaitingWitness;
  bool witnessed = false;
  // Known from before this ballot.
  bool carried = false;
  EarlierRelays earlier = EarlierRelays::kSettled;
  Reason refusal = Reason::kComplete;
  Duration retry_after{};
  std::vector<Waiter> waiters;
  std::vector<TaskRecord> tasks;
  // Tasks to start, the next one last.
  std::vector<TaskIndex> queued;
  std::uint32_t succeeded = 0;
  // Starts that have not been proven "not run".
  std::uint32_t started = 0;
  // Declared core time of the queued tasks.
  Duration queued_work{};
  // Position in the service's queue; meaningful while `is_queued`.
  std::int64_t rank = 0;
  bool is_queued = false;
  // Queued among those that can't meet their objective any more.
  bool is_late = false;

  // When the answer should be there.
  [[nodiscard]] Timestamp DueAt() const {
    return this->submission.objective > Duration()
               ? std::min(this->deadline,
                          this->accepted_at + this->submission.objective)
               : this->deadline;
  }
  // After this, the answer is worth nothing to the caller.
  [[nodiscard]] Timestamp UsefulUntil() const {
    constexpr std::int64_t kUsefulObjectives = 3;
    return this->submission.objective > Duration()
               ? std::min(this->deadline,
                          this->accepted_at +
                              kUsefulObjectives * this->submission.objective)
               : this->deadline;
  }
  // After this, the queued tasks can't be expected to end before the answer is
  // due, even if they all start at once. `stretch`: time that tasks take, over
  // what is declared.
  [[nodiscard]] Timestamp LatestStart(double stretch) const {
    Duration longest{};
    for (const TaskIndex task : this->queued) {
      longest =
          std::max(longest, this->submission.tasks[task.value()].declared);
    }
    return this->DueAt() - Duration(static_cast<std::int64_t>(
                               static_cast<double>(longest.count()) * stretch));
  }
  // Nothing of the job has been started, here or by a former home.
  [[nodiscard]] bool IsUntouched() const {
    return this->started == 0 && !this->carried;
  }
  // An untouched job that is still queued then is refused.
  [[nodiscard]] Timestamp RefuseBy() const {
    return DecideBy(this->deadline, this->submission.time_allowed,
                    kRefusalLead);
  }
  // The callers get an answer then, whatever is still open.
  [[nodiscard]] Timestamp AnswerBy() const {
    return DecideBy(this->deadline, this->submission.time_allowed,
                    kHomeAnswerLead);
  }
  [[nodiscard]] Duration TimeLeft(Timestamp now) const {
    return std::max(Duration(), this->deadline - now);
  }
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HOME_JOB_H_
