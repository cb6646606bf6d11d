#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_ROOM_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_ROOM_H_

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
  // After this, nobody waits for the task any more.
  Timestamp deadline;
};

// The room of the upstream and the line of accepted starts that wait for it.
// Entries send starts to where they believe room to be; two that race for the
// same room meet here, and the later one waits in a short line, so that no
// room is kept aside for an entry that does not need it.
class UpstreamRoom {
 public:
  // What an upstream of `room` can hold. Running tasks keep what they have.
  void SetCapacity(const Resources& room) { this->capacity = room; }
  // Whether a task may join the line: it fits the upstream at all, and the
  // line is short.
  [[nodiscard]] bool Admits(const Resources& need) const;
  void Enqueue(AcceptedStart accepted);
  // Takes the first of the line if there is room for it now.
  std::optional<AcceptedStart> TakeNext();
  // Takes a start out of the line; nothing where it does not wait.
  std::optional<AcceptedStart> Withdraw(const TaskId& task);
  // Takes out of the line what is past its deadline.
  std::vector<AcceptedStart> WithdrawOverdue(Timestamp now);
  // A running task has ended, so its room is free.
  void Release(const TaskId& task);

  [[nodiscard]] bool IsRunning(const TaskId& task) const {
    return this->running.contains(task);
  }
  // Running tasks that are past their deadline.
  [[nodiscard]] std::vector<TaskId> Overdue(Timestamp now) const;
  [[nodiscard]] std::size_t running_count() const {
    return this->running.size();
  }
  [[nodiscard]] std::size_t waiting_count() const { return this->line.size(); }
  [[nodiscard]] const Resources& running_need() const { return this->in_use; }
  [[nodiscard]] const Resources& waiting_need() const { return this->waiting; }
  [[nodiscard]] const Resources& total() const { return this->capacity; }

 private:
  struct Running {
    Resources need;
    Timestamp deadline;
  };

  Resources capacity;
  Resources in_use;
  Resources waiting;
  std::deque<AcceptedStart> line;
  std::unordered_map<TaskId, Running, TaskIdHash> running;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_UPSTREAM_ROOM_H_
