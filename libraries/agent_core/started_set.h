#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_STARTED_SET_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_STARTED_SET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/base/payload.h"
#include "libraries/base/time.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

struct StartedSetLimits {
  std::size_t maximum_tasks = 200'000;
  std::size_t maximum_answer_bytes = 16U * 1024U * 1024U;
  // How long a completed task stays in the set, counted from its latest start.
  Duration duplicate_window = std::chrono::minutes(10);
};

// Which started tasks to list.
struct StartedQuery {
  std::vector<BucketId> buckets;
  std::uint32_t bucket_count = 0;
  // If set, jobs of the first bucket up to this key are left out.
  std::optional<JobKey> after;
  // The list ends with the job with which it reaches this number of tasks; 0:
  // not limited.
  std::size_t maximum_tasks = 0;
};

struct StartedList {
  std::vector<StartedJob> jobs;
  // How many of the buckets the list covers.
  std::size_t covered = 0;
  // If set, the last one of these has jobs after this key that are not listed.
  std::optional<JobKey> resume_after;
};

struct TaskIdHash {
  std::size_t operator()(const TaskId& id) const {
    constexpr std::uint64_t kOddMultiplier = 0x9E3779B97F4A7C15ULL;
    return id.key.low ^ ((id.task.value() + 1ULL) * kOddMultiplier);
  }
};

// The tasks that an agent has started, and their outcomes. A task is inserted
// before the call to its upstream and stays for the duplicate window. Results
// are cached up to a total size; the oldest is evicted first.
class StartedSet {
 public:
  explicit StartedSet(const StartedSetLimits& configured)
      : limits(configured) {}

  [[nodiscard]] bool IsFull() const {
    return this->tasks.size() >= this->limits.maximum_tasks;
  }
  // Whether this start was answered with "not run" or renounced before.
  [[nodiscard]] bool IsForbidden(const Start& start) const;
  // Whether a task in the set may be started again: its job allows that, the
  // task completed without success, and `start` is newer than its latest start.
  [[nodiscard]] bool MayRunAgain(const Start& start) const;
  // Inserts a task, or records a new start of a task that may run again.
  void Insert(const Start& start, Timestamp now);
  [[nodiscard]] bool Contains(const TaskId& id) const {
    return this->tasks.contains(id);
  }
  // Removes a task that the upstream has certainly not run, and forbids its
  // start, so that a duplicate of the message has no effect.
  void MarkNotRun(const TaskId& id);
  void MarkFinished(const TaskId& id, TaskOutcome outcome, Payload result);
  [[nodiscard]] TaskReport Report(const TaskId& id) const;
  // The number of the task's latest start.
  [[nodiscard]] StartNumber LatestStart(const TaskId& id) const {
    const auto found = this->tasks.find(id);
    return found == this->tasks.end() ? StartNumber() : found->second.start;
  }
  // Forbids every start of `id` up to and including `start`.
  void Forbid(const TaskId& id, const StartNumber& start);
  // Whether there is room for the record of one more cancelled job.
  [[nodiscard]] bool MayCancel(const JobKey& key) const {
    return this->cancelled.size() < this->limits.maximum_tasks ||
           this->cancelled.contains(key);
  }
  // Records that the job was cancelled.
  void Cancel(const JobKey& key, Timestamp now);
  [[nodiscard]] bool IsCancelled(const JobKey& key) const {
    return this->cancelled.contains(key);
  }
  // Records a newer start of a task that still runs; the outcome of the run
  // then answers the newer start as well.
  void UpdateLatestStart(const Start& start);
  // The started tasks of the buckets and the cancelled jobs, grouped by job, in
  // the order of the buckets and keys. Tasks that completed without success and
  // may run again are left out, since another agent may have started them
  // later.
  [[nodiscard]] StartedList List(const StartedQuery& query) const;
  // Removes completed tasks, forbidden starts and cancellings that are older
  // than the duplicate window.
  void Expire(Timestamp now);
  [[nodiscard]] std::size_t size() const { return this->tasks.size(); }
  // The number of results in the cache, also of empty ones.
  [[nodiscard]] std::size_t kept_answers() const {
    return this->answers.size();
  }

 private:
  struct Entry {
    StartedState state = StartedState::kRunning;
    TaskOutcome outcome = TaskOutcome::kUnknown;
    RerunPolicy rerun = RerunPolicy::kNever;
    // The number of the latest start.
    StartNumber start;
    Timestamp added_at;
  };
  struct TimedTask {
    Timestamp added_at;
    TaskId id;
  };
  struct ForbiddenStarts {
    // The highest forbidden number.
    StartNumber highest;
    // When a start of the task was last forbidden.
    Timestamp added_at;
  };
  // A task, or with `kWholeJob` a cancelled job, of the bucket at `position` of
  // a query.
  struct QueriedTask {
    std::size_t position = 0;
    TaskId id;
    auto operator<=>(const QueriedTask&) const = default;
  };
  struct Answer {
    Payload result;
    // Increases with each answer that is added.
    std::uint64_t number = 0;
  };

  [[nodiscard]] std::vector<QueriedTask> Find(const StartedQuery& query) const;
  // Whether the task completed without success and may run again.
  [[nodiscard]] static bool IsRerunnable(const Entry& entry);
  // Whether the task of an item past the window still runs.
  enum class Expiry { kRemoved, kStillRuns };
  Expiry ExpireTask(const TimedTask& item);
  void DropOldestAnswer();
  void DropAnswer(const TaskId& id);

  StartedSetLimits limits;
  std::unordered_map<TaskId, Entry, TaskIdHash> tasks;
  std::unordered_map<TaskId, ForbiddenStarts, TaskIdHash> forbidden;
  std::unordered_map<TaskId, Answer, TaskIdHash> answers;
  // By the number of the answer, oldest first.
  std::map<std::uint64_t, TaskId> answer_order;
  std::uint64_t last_answer = 0;
  std::deque<TimedTask> expiry_order;
  // Taken from `expiry_order` while their tasks still ran.
  std::vector<TimedTask> long_running;
  std::deque<TimedTask> forbidden_order;
  // When each job was last cancelled.
  std::map<JobKey, Timestamp> cancelled;
  std::deque<std::pair<Timestamp, JobKey>> cancelled_order;
  std::size_t answer_bytes = 0;
  Timestamp last_update_time;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_STARTED_SET_H_
