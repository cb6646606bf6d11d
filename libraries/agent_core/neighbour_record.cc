#include "libraries/agent_core/neighbour_record.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {
namespace {

constexpr Duration kRemembered = std::chrono::seconds(10);
constexpr std::size_t kMaximumPeriods = 256;

}  // namespace

void NeighbourRecord::NoteStarted(JobGroupId group, Timestamp now) {
  Present& here = this->present[group];
  if (here.tasks == 0) here.since = now;
  ++here.tasks;
}

void NeighbourRecord::NoteEnded(JobGroupId group, Timestamp now) {
  const auto found = this->present.find(group);
  if (found == this->present.end()) return;
  if (--found->second.tasks > 0) return;
  this->past.push_back({group, found->second.since, now});
  this->present.erase(found);
  this->Forget(now);
}

void NeighbourRecord::Forget(Timestamp now) {
  while (!this->past.empty() &&
         (this->past.size() > kMaximumPeriods ||
          this->past.front().ended + kRemembered < now)) {
    this->past.pop_front();
  }
}

std::vector<JobGroupId> NeighbourRecord::Running() const {
  std::vector<JobGroupId> groups;
  for (const auto& [group, here] : this->present) {
    if (groups.size() == kMaximumReportedGroups) break;
    groups.push_back(group);
  }
  return groups;
}

std::vector<JobGroupId> NeighbourRecord::Beside(JobGroupId group,
                                                Timestamp began,
                                                Timestamp now) const {
  std::map<JobGroupId, Duration> overlaps;
  const auto add = [&](JobGroupId other, Timestamp from, Timestamp until) {
    if (other == group || until <= began) return;
    overlaps[other] += until - std::max(from, began);
  };
  for (const Period& period : this->past) {
    add(period.group, period.began, period.ended);
  }
  for (const auto& [other, here] : this->present) add(other, here.since, now);
  std::vector<std::pair<Duration, JobGroupId>> longest;
  for (const auto& [other, overlap] : overlaps) {
    if (2 * overlap >= now - began) longest.emplace_back(-overlap, other);
  }
  std::sort(longest.begin(), longest.end());
  if (longest.size() > kMaximumNeighbours) longest.resize(kMaximumNeighbours);
  std::vector<JobGroupId> neighbours;
  neighbours.reserve(longest.size());
  for (const auto& [overlap, other] : longest) neighbours.push_back(other);
  return neighbours;
}

}  // namespace dandelionspur
