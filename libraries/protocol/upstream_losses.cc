#include "libraries/protocol/upstream_losses.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Far more than an agent or a home has tasks within the duplicate window whose
// upstream was lost.
constexpr std::size_t kMaximumTasks = 20'000;

std::size_t CountSuspected(const std::vector<UpstreamLoss>& losses) {
  return static_cast<std::size_t>(
      std::count_if(losses.begin(), losses.end(), [](const UpstreamLoss& loss) {
        return loss.role == LossRole::kSuspect;
      }));
}

bool ReachesLimit(const std::vector<UpstreamLoss>& losses) {
  return losses.size() >= kMaximumLosses ||
         CountSuspected(losses) >= kMaximumSuspectedLosses;
}

}  // namespace

void UpstreamLosses::Record(const TaskId& task,
                            const std::vector<UpstreamLoss>& losses,
                            Timestamp now) {
  if (losses.empty()) return;
  LostUnder& record = this->tasks[task];
  bool is_new = false;
  for (const UpstreamLoss& loss : losses) {
    const bool known = std::any_of(
        record.losses.begin(), record.losses.end(),
        [&](const UpstreamLoss& other) { return other.IsSameLoss(loss); });
    if (known) continue;
    record.losses.push_back(loss);
    is_new = true;
  }
  if (!is_new) return;
  record.recorded_at = now;
  this->order.push_back({now, task});
  while (this->tasks.size() > kMaximumTasks) this->RemoveOldest();
}

std::vector<UpstreamLoss> UpstreamLosses::Of(const TaskId& task) const {
  const auto found = this->tasks.find(task);
  return found == this->tasks.end() ? std::vector<UpstreamLoss>()
                                    : found->second.losses;
}

std::size_t UpstreamLosses::SuspectedCount(const TaskId& task) const {
  const auto found = this->tasks.find(task);
  return found == this->tasks.end() ? 0 : CountSuspected(found->second.losses);
}

bool UpstreamLosses::IsGivenUp(const TaskId& task) const {
  const auto found = this->tasks.find(task);
  return found != this->tasks.end() && ReachesLimit(found->second.losses);
}

bool UpstreamLosses::IsGivenUp(const JobKey& key) const {
  for (auto item = this->tasks.lower_bound({key, TaskIndex(0)});
       item != this->tasks.end() && item->first.key == key; ++item) {
    if (ReachesLimit(item->second.losses)) return true;
  }
  return false;
}

std::vector<TaskLosses> UpstreamLosses::InBuckets(
    const std::unordered_set<BucketId>& buckets,
    std::uint32_t bucket_count) const {
  std::vector<TaskLosses> found;
  for (const auto& [task, record] : this->tasks) {
    if (!buckets.contains(BucketOf(task.key, bucket_count))) continue;
    found.push_back({task, record.losses});
  }
  return found;
}

void UpstreamLosses::Expire(Timestamp now) {
  while (!this->order.empty() &&
         this->order.front().recorded_at + this->duplicate_window < now) {
    this->RemoveOldest();
  }
}

void UpstreamLosses::RemoveOldest() {
  const Recording oldest = this->order.front();
  this->order.pop_front();
  const auto found = this->tasks.find(oldest.task);
  // A later loss of the task has another item in `order`.
  const bool is_latest = found != this->tasks.end() &&
                         found->second.recorded_at == oldest.recorded_at;
  if (is_latest) this->tasks.erase(found);
}

}  // namespace dandelionspur
