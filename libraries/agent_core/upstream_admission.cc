#include "libraries/agent_core/upstream_admission.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// The queued tasks may need the upstream's millicores divided by this: enough
// for starts that several entries send at the same time, but not so much that
// tasks wait here while another upstream becomes free earlier.
constexpr std::uint64_t kQueueDivisor = 2;

bool IsMoreUrgent(const AcceptedStart& left, const AcceptedStart& right) {
  return left.start_by.value_or(Timestamp::max()) <
         right.start_by.value_or(Timestamp::max());
}

}  // namespace

bool UpstreamAdmission::Admits(const Resources& need) const {
  if (!need.FitsIn(this->capacity)) return false;
  if (this->queue.empty()) return true;
  return this->waiting.millicores + need.millicores <=
         this->capacity.millicores / kQueueDivisor;
}

void UpstreamAdmission::Enqueue(AcceptedStart accepted) {
  this->waiting += accepted.start.request.need;
  const auto position = std::upper_bound(this->queue.begin(), this->queue.end(),
                                         accepted, IsMoreUrgent);
  this->queue.insert(position, std::move(accepted));
}

std::optional<AcceptedStart> UpstreamAdmission::TakeNext(Timestamp now) {
  if (this->queue.empty()) return std::nullopt;
  const Resources need = this->queue.front().start.request.need;
  if (!(this->in_use + need).FitsIn(this->capacity)) return std::nullopt;
  AcceptedStart next = std::move(this->queue.front());
  this->queue.pop_front();
  this->waiting = Without(this->waiting, need);
  this->in_use += need;
  this->running.emplace(
      next.start.task,
      Running{need, next.deadline, next.start.group, now,
              next.start.request.declared, next.from, next.number});
  return next;
}

std::optional<AcceptedStart> UpstreamAdmission::Withdraw(const TaskId& task) {
  const auto found = std::find_if(this->queue.begin(), this->queue.end(),
                                  [&](const AcceptedStart& accepted) {
                                    return accepted.start.task == task;
                                  });
  if (found == this->queue.end()) return std::nullopt;
  AcceptedStart withdrawn = std::move(*found);
  this->queue.erase(found);
  this->waiting = Without(this->waiting, withdrawn.start.request.need);
  return withdrawn;
}

template <typename Condition>
std::vector<AcceptedStart> UpstreamAdmission::WithdrawIf(
    const Condition& condition) {
  std::vector<TaskId> matching;
  for (const AcceptedStart& accepted : this->queue) {
    if (condition(accepted)) matching.push_back(accepted.start.task);
  }
  std::vector<AcceptedStart> withdrawn;
  for (const TaskId& task : matching) {
    std::optional<AcceptedStart> accepted = this->Withdraw(task);
    if (accepted) withdrawn.push_back(std::move(*accepted));
  }
  return withdrawn;
}

std::vector<AcceptedStart> UpstreamAdmission::WithdrawOverdue(Timestamp now) {
  return this->WithdrawIf(
      [&](const AcceptedStart& accepted) { return accepted.deadline <= now; });
}

std::vector<AcceptedStart> UpstreamAdmission::WithdrawOversized() {
  return this->WithdrawIf([&](const AcceptedStart& accepted) {
    return !accepted.start.request.need.FitsIn(this->capacity);
  });
}

Duration UpstreamAdmission::Release(const TaskId& task) {
  const auto found = this->running.find(task);
  if (found == this->running.end()) return {};
  const Duration declared = found->second.declared;
  this->in_use = Without(this->in_use, found->second.need);
  this->running.erase(found);
  return declared;
}

TaskAtUpstream UpstreamAdmission::RunningTask(const TaskId& task) const {
  const Running& state = this->running.at(task);
  return {task, state.group, state.started_at};
}

void UpstreamAdmission::NoteUnconfirmed(
    const std::vector<TaskId>& unconfirmed) {
  for (auto& [task, state] : this->running) {
    const bool is_confirmed = std::find(unconfirmed.begin(), unconfirmed.end(),
                                        task) == unconfirmed.end();
    if (is_confirmed) state.confirmation = StartConfirmation::kConfirmed;
  }
}

std::optional<std::uint64_t> UpstreamAdmission::FirstUnconfirmed(
    EntryId from) const {
  std::optional<std::uint64_t> first;
  const auto consider = [&](EntryId sender, std::uint64_t number) {
    if (sender != from || number == 0) return;
    first = std::min(first.value_or(number), number);
  };
  for (const AcceptedStart& accepted : this->queue) {
    consider(accepted.from, accepted.number);
  }
  for (const auto& [task, state] : this->running) {
    if (state.confirmation == StartConfirmation::kConfirmed) continue;
    consider(state.from, state.number);
  }
  return first;
}

void UpstreamAdmission::ForgetNumbers(EntryId from) {
  for (AcceptedStart& accepted : this->queue) {
    if (accepted.from == from) accepted.number = 0;
  }
  for (auto& [task, state] : this->running) {
    if (state.from == from) state.number = 0;
  }
}

std::vector<TaskId> UpstreamAdmission::Overdue(Timestamp now) const {
  std::vector<TaskId> overdue;
  for (const auto& [task, state] : this->running) {
    if (state.deadline <= now) overdue.push_back(task);
  }
  std::sort(overdue.begin(), overdue.end());
  return overdue;
}

std::vector<TaskAtUpstream> UpstreamAdmission::RunningTasks() const {
  std::vector<TaskAtUpstream> tasks;
  tasks.reserve(this->running.size());
  for (const auto& [task, state] : this->running) {
    tasks.push_back({task, state.group, state.started_at});
  }
  std::sort(tasks.begin(), tasks.end(),
            [](const TaskAtUpstream& first, const TaskAtUpstream& second) {
              return first.task < second.task;
            });
  return tasks;
}

}  // namespace dandelionspur
