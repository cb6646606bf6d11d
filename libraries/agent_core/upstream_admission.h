#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_ADMISSION_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libraries/agent_core/started_set.h"
#include "libraries/base/resources.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// A start that the agent has accepted.
struct AcceptedStart {
  Start start;
  EntryId from;
  // The caller stops waiting for the task's result at this time.
  Timestamp deadline;
  // The latest start with which the task ends within its objective; not set if
  // it can't any more.
  std::optional<Timestamp> start_by{};
  // The number of the start among those of the entry on its connection, from 1.
  // 0 once that connection has ended.
  std::uint64_t number = 0;
};

// A task that is at the upstream.
struct TaskAtUpstream {
  TaskId task;
  JobGroupId group;
  Timestamp started_at;
};

// Admission control for the upstream: its capacity, the running tasks and a
// queue of accepted starts. Entries send starts by their own estimate of the
// free capacity, without reserving it, so that no capacity lies idle for an
// entry that does not need it. If two starts race for the same capacity, the
// later one waits in the queue, which is kept short.
class UpstreamAdmission {
 public:
  // Running tasks keep their resources, even beyond the new capacity.
  void SetCapacity(const Resources& new_capacity) {
    this->capacity = new_capacity;
  }
  // Whether a task may be queued: it fits into the total capacity, and the
  // queue is short enough.
  [[nodiscard]] bool Admits(const Resources& need) const;
  // Starts that could still meet their objective when they arrived are served
  // first, by their latest start; the others in the order of their arrival.
  void Enqueue(AcceptedStart accepted);
  // Removes the first start from the queue and counts its task as running.
  // Returns nothing if the queue is empty or the free capacity is too small.
  std::optional<AcceptedStart> TakeNext(Timestamp now);
  // Removes a start from the queue; returns nothing if it is not queued.
  std::optional<AcceptedStart> Withdraw(const TaskId& task);
  // Removes all starts from the queue whose deadline is `now` or earlier.
  std::vector<AcceptedStart> WithdrawOverdue(Timestamp now);
  // Removes all starts from the queue that don't fit into the total capacity.
  std::vector<AcceptedStart> WithdrawOversized();
  // Frees the resources of a completed task and returns its declared run time;
  // zero if it was not running.
  Duration Release(const TaskId& task);

  [[nodiscard]] bool IsRunning(const TaskId& task) const {
    return this->running.contains(task);
  }
  // `task` must be running.
  [[nodiscard]] TaskAtUpstream RunningTask(const TaskId& task) const;
  // Records that the starts of all running tasks but these are confirmed.
  void NoteUnconfirmed(const std::vector<TaskId>& unconfirmed);
  // The number of the entry's first start that is neither confirmed nor has
  // ended, or nothing if there is none on its present connection.
  [[nodiscard]] std::optional<std::uint64_t> FirstUnconfirmed(
      EntryId from) const;
  // The entry numbers its starts anew, on another connection.
  void ForgetNumbers(EntryId from);
  // Running tasks whose deadline is `now` or earlier.
  [[nodiscard]] std::vector<TaskId> Overdue(Timestamp now) const;
  // In the order of the ids.
  [[nodiscard]] std::vector<TaskAtUpstream> RunningTasks() const;
  [[nodiscard]] std::size_t running_count() const {
    return this->running.size();
  }
  [[nodiscard]] std::size_t waiting_count() const { return this->queue.size(); }
  [[nodiscard]] const Resources& running_need() const { return this->in_use; }
  [[nodiscard]] const Resources& waiting_need() const { return this->waiting; }
  [[nodiscard]] const Resources& total() const { return this->capacity; }

 private:
  struct Running {
    Resources need;
    Timestamp deadline;
    JobGroupId group;
    Timestamp started_at;
    Duration declared{};
    EntryId from;
    std::uint64_t number = 0;
    StartConfirmation confirmation = StartConfirmation::kUnconfirmed;
  };

  // Removes all starts from the queue for which `condition` holds.
  template <typename Condition>
  std::vector<AcceptedStart> WithdrawIf(const Condition& condition);

  Resources capacity;
  Resources in_use;
  Resources waiting;
  std::deque<AcceptedStart> queue;
  std::unordered_map<TaskId, Running, TaskIdHash> running;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_ADMISSION_H_
