#include "libraries/agent_core/upstream_room.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// The line may ask for this part of the upstream's processors: enough for the
// starts that cross each other on the way, too little to hold tasks back from
// an upstream that becomes free earlier.
constexpr std::uint64_t kLineDivisor = 2;

}  // namespace

bool UpstreamRoom::Admits(const Resources& need) const {
  if (!need.FitsIn(this->capacity)) return false;
  if (this->line.empty()) return true;
  return this->waiting.millicores + need.millicores <=
         this->capacity.millicores / kLineDivisor;
}

void UpstreamRoom::Enqueue(AcceptedStart accepted) {
  this->waiting += accepted.start.request.need;
  this->line.push_back(std::move(accepted));
}

std::optional<AcceptedStart> UpstreamRoom::TakeNext() {
  if (this->line.empty()) return std::nullopt;
  const Resources need = this->line.front().start.request.need;
  if (!(this->in_use + need).FitsIn(this->capacity)) return std::nullopt;
  AcceptedStart next = std::move(this->line.front());
  this->line.pop_front();
  this->waiting = Without(this->waiting, need);
  this->in_use += need;
  this->running.emplace(next.start.task, Running{need, next.deadline});
  return next;
}

std::optional<AcceptedStart> UpstreamRoom::Withdraw(const TaskId& task) {
  const auto found = std::find_if(this->line.begin(), this->line.end(),
                                  [&](const AcceptedStart& accepted) {
                                    return accepted.start.task == task;
                                  });
  if (found == this->line.end()) return std::nullopt;
  AcceptedStart withdrawn = std::move(*found);
  this->line.erase(found);
  this->waiting = Without(this->waiting, withdrawn.start.request.need);
  return withdrawn;
}

std::vector<AcceptedStart> UpstreamRoom::WithdrawOverdue(Timestamp now) {
  std::vector<TaskId> overdue;
  for (const AcceptedStart& accepted : this->line) {
    if (accepted.deadline <= now) overdue.push_back(accepted.start.task);
  }
  std::vector<AcceptedStart> withdrawn;
  for (const TaskId& task : overdue) {
    std::optional<AcceptedStart> accepted = this->Withdraw(task);
    if (accepted) withdrawn.push_back(std::move(*accepted));
  }
  return withdrawn;
}

void UpstreamRoom::Release(const TaskId& task) {
  const auto found = this->running.find(task);
  if (found == this->running.end()) return;
  this->in_use = Without(this->in_use, found->second.need);
  this->running.erase(found);
}

std::vector<TaskId> UpstreamRoom::Overdue(Timestamp now) const {
  std::vector<TaskId> overdue;
  for (const auto& [task, state] : this->running) {
    if (state.deadline <= now) overdue.push_back(task);
  }
  std::sort(overdue.begin(), overdue.end());
  return overdue;
}

}  // namespace dandelionspur
