#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_STARTED_SET_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_STARTED_SET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/base/payload.h"
#include "libraries/base/time.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

struct StartedSetLimits {
  std::size_t maximum_tasks = 200'000;
  std::size_t maximum_answer_bytes = 16U * 1024U * 1024U;
  // How long a finished task is remembered.
  Duration duplicate_window = std::chrono::minutes(10);
};

struct TaskIdHash {
  std::size_t operator()(const TaskId& id) const {
    constexpr std::uint64_t kOddMultiplier = 0x9E3779B97F4A7C15ULL;
    return id.key.low ^ ((id.task.value() + 1ULL) * kOddMultiplier);
  }
};

// The tasks that an agent has started, and how they ended. A task enters
// before its upstream is called and stays for the duplicate window; answers
// are kept up to a number of bytes, oldest dropped first.
class StartedSet {
 public:
  explicit StartedSet(const StartedSetLimits& configured)
      : limits(configured) {}

  [[nodiscard]] bool IsFull() const {
    return this->tasks.size() >= this->limits.maximum_tasks;
  }
  // Whether this start was answered "not run" or renounced before.
  [[nodiscard]] bool IsForbidden(const Start& start) const;
  // Whether a task of the set may be started once more: its job allows that,
  // it ended without success, and this is a newer start.
  [[nodiscard]] bool MayRunAgain(const Start& start) const;
  // Enters a task, or a new start of one that may run again.
  void Insert(const Start& start, Timestamp now);
  [[nodiscard]] bool Contains(const TaskId& id) const {
    return this->tasks.contains(id);
  }
  // Takes a task out that the upstream has certainly not received, and keeps
  // its start from taking effect again.
  void MarkNotRun(const TaskId& id);
  void MarkFinished(const TaskId& id, TaskOutcome outcome, Payload result);
  [[nodiscard]] TaskReport Report(const TaskId& id) const;
  // The number of the task's latest start.
  [[nodiscard]] StartNumber LatestStart(const TaskId& id) const {
    const auto found = this->tasks.find(id);
    return found == this->tasks.end() ? StartNumber() : found->second.start;
  }
  // No start of `id` up to this one takes effect any more.
  void Forbid(const TaskId& id, const StartNumber& start);
  // A newer start of a task that still runs: how that ends answers it as well.
  void Join(const Start& start);
  // The started tasks whose bucket is in `buckets`, grouped by job; without
  // those that ended without success and may run again, since another agent
  // may have started them after that.
  [[nodiscard]] std::vector<StartedJob> TasksOf(
      const std::unordered_set<BucketId>& buckets,
      std::uint32_t bucket_count) const;
  // Forgets what is older than the duplicate window and not running.
  void Expire(Timestamp now);
  [[nodiscard]] std::size_t size() const { return this->tasks.size(); }

 private:
  struct Entry {
    StartedState state = StartedState::kRunning;
    TaskOutcome outcome = TaskOutcome::kUnknown;
    RerunPolicy rerun = RerunPolicy::kNever;
    // Of the latest start.
    StartNumber start;
    Timestamp since;
  };
  struct Remembered {
    Timestamp since;
    TaskId id;
  };

  void DropOldestAnswer();
  void DropAnswer(const TaskId& id);

  StartedSetLimits limits;
  std::unordered_map<TaskId, Entry, TaskIdHash> tasks;
  std::unordered_map<TaskId, StartNumber, TaskIdHash> forbidden;
  std::unordered_map<TaskId, Payload, TaskIdHash> answers;
  std::deque<TaskId> answer_order;
  std::deque<Remembered> expiry_order;
  std::deque<Remembered> forbidden_order;
  std::size_t answer_bytes = 0;
  Timestamp last_seen_time;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_STARTED_SET_H_
