#include "tests/support/cancellation_check.h"

#include <algorithm>

namespace dandelionspur {

RequestId CancellationCheck::OnRequested(NodeId entry) {
  const RequestId request(++this->last_request);
  this->pending.emplace(request, entry);
  return request;
}

std::optional<std::string> CancellationCheck::OnAnswered(
    const CancelAnswered& answer, std::size_t members) {
  if (this->pending.erase(answer.request) == 0) {
    return "a cancelling is answered twice";
  }
  if (answer.outcome == CancelOutcome::kHolds) {
    const std::uint32_t survived = members > 1 ? 1 : 0;
    this->acknowledged[answer.key] = this->lost_entries + survived;
  }
  return std::nullopt;
}

std::optional<std::string> CancellationCheck::OnStart(const JobKey& key) const {
  if (!this->settled || !this->MustHold(key)) return std::nullopt;
  return "a job starts whose cancelling was acknowledged";
}

bool CancellationCheck::MustHold(const JobKey& key) const {
  const auto found = this->acknowledged.find(key);
  return found != this->acknowledged.end() &&
         this->lost_entries <= found->second;
}

std::vector<JobKey> CancellationCheck::Held() const {
  std::vector<JobKey> held;
  for (const auto& [key, losses] : this->acknowledged) {
    if (this->MustHold(key)) held.push_back(key);
  }
  return held;
}

bool CancellationCheck::HasPendingRequest(NodeId entry) const {
  return std::any_of(this->pending.begin(), this->pending.end(),
                     [&](const auto& item) { return item.second == entry; });
}

}  // namespace dandelionspur
