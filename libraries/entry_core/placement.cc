#include "libraries/entry_core/placement.h"

namespace dandelionspur {
namespace {

// Ends that differ by less than this count as equal: the part of the task's run
// time by which it varies anyway, and the time of a message.
constexpr std::int64_t kEndToleranceDivisor = 16;
constexpr Duration kMessageTime = std::chrono::milliseconds(2);

constexpr double kPercent = 100;

UpstreamOutlook OutlookOf(const KnownAgent& agent, Timestamp now) {
  return {agent.load.capacity.millicores, agent.Taken().millicores,
          now - agent.last_heard, agent.slowness,
          agent.load.performance.failed_percent / kPercent};
}

}  // namespace

std::size_t SoonestEnd::Choose(const Candidates& agents,
                               const PlacementRequest& request) {
  this->ends.clear();
  for (const KnownAgent* agent : agents) {
    this->ends.push_back(
        ExpectedEnd(request.outlook, OutlookOf(*agent, request.now)));
  }
  const Duration soonest =
      *std::min_element(this->ends.begin(), this->ends.end());
  if (soonest == Duration::max()) return 0;
  const Duration limit =
      soonest + request.outlook.declared / kEndToleranceDivisor + kMessageTime;
  this->near_best.clear();
  for (std::size_t i = 0; i < agents.size(); ++i) {
    if (this->ends[i] <= limit) this->near_best.push_back(i);
  }
  const std::size_t spread =
      std::hash<JobKey>()(request.id.key) + request.id.task.value();
  return this->near_best[spread % this->near_best.size()];
}

}  // namespace dandelionspur
