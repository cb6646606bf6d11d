#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_UPSTREAM_LOSSES_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_UPSTREAM_LOSSES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_set>
#include <vector>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// A task is given up once this many upstreams were lost under it while it was
// suspected.
inline constexpr std::size_t kMaximumSuspectedLosses = 2;
// A task is given up once this many upstreams were lost under it, whether or
// not another task was suspected. Bounds the upstreams that are lost under a
// task that always ran beside stronger suspects.
inline constexpr std::size_t kMaximumLosses = 3;

// The upstreams that were lost while they ran a task, for each task of which
// this process knows any. A loss reported more than once counts once. The
// losses of a task are forgotten one duplicate window after the last of them
// was recorded, or earlier if too many tasks are recorded.
class UpstreamLosses {
 public:
  explicit UpstreamLosses(Duration window) : duplicate_window(window) {}

  void Record(const TaskId& task, const std::vector<UpstreamLoss>& losses,
              Timestamp now);
  [[nodiscard]] std::vector<UpstreamLoss> Of(const TaskId& task) const;
  // The number of losses for which the task is suspected.
  [[nodiscard]] std::size_t SuspectedCount(const TaskId& task) const;
  // Whether so many upstreams were lost under the task that it must not be
  // started again.
  [[nodiscard]] bool IsGivenUp(const TaskId& task) const;
  // Whether this holds for any task of the job.
  [[nodiscard]] bool IsGivenUp(const JobKey& key) const;
  // All losses under tasks whose bucket is in `buckets`.
  [[nodiscard]] std::vector<TaskLosses> InBuckets(
      const std::unordered_set<BucketId>& buckets,
      std::uint32_t bucket_count) const;
  void Expire(Timestamp now);
  // Number of tasks with losses.
  [[nodiscard]] std::size_t size() const { return this->tasks.size(); }

 private:
  struct LostUnder {
    std::vector<UpstreamLoss> losses;
    Timestamp recorded_at;
  };
  struct Recording {
    Timestamp recorded_at;
    TaskId task;
  };

  void RemoveOldest();

  Duration duplicate_window;
  std::map<TaskId, LostUnder> tasks;
  std::deque<Recording> order;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_UPSTREAM_LOSSES_H_
