#include "libraries/agent_core/recent_losses.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// How long a loss is repeated.
constexpr Duration kRepeatedFor = std::chrono::seconds(5);
constexpr std::size_t kMaximumRepeated = 4;
// Bounds the size of a heartbeat.
constexpr std::size_t kMaximumSuspects = 16;

}  // namespace

void RecentLosses::Add(Timestamp lost_at, std::vector<JobGroupId> suspects) {
  // So many groups do not point to any of them.
  if (suspects.size() > kMaximumSuspects) suspects.clear();
  this->losses.push_back({++this->last_number, lost_at, std::move(suspects)});
  if (this->losses.size() > kMaximumRepeated) this->losses.pop_front();
}

void RecentLosses::WithdrawLatest() {
  if (!this->losses.empty()) this->losses.pop_back();
}

std::vector<RecentLoss> RecentLosses::Report(Timestamp now) const {
  std::vector<RecentLoss> report;
  for (const Loss& loss : this->losses) {
    // The clock may have been set back since.
    const Duration age = std::max(Duration(), now - loss.lost_at);
    report.push_back({loss.number, age, loss.suspects});
  }
  return report;
}

void RecentLosses::Expire(Timestamp now) {
  while (!this->losses.empty() &&
         this->losses.front().lost_at + kRepeatedFor < now) {
    this->losses.pop_front();
  }
}

}  // namespace dandelionspur
