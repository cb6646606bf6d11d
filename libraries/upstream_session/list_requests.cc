#include "libraries/upstream_session/list_requests.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// The upstream answers a list request within milliseconds of its poll timeout.
// If the answer takes this much longer than the timeout, it counts as lost, and
// a new list is requested.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);

}  // namespace

bool ListRequest::IsOverdue(SteadyTime now) const {
  return now > this->sent_at + this->poll_timeout + kAnswerMargin;
}

std::optional<ListRequest> ListRequests::Remove(ListNumber number) {
  const auto found = this->requests.find(number);
  if (found == this->requests.end()) return std::nullopt;
  const ListRequest request = found->second;
  this->requests.erase(found);
  return request;
}

void ListRequests::RemoveOlderThan(Duration age, SteadyTime now) {
  std::erase_if(this->requests, [&](const auto& item) {
    return now - item.second.sent_at > age;
  });
}

bool ListRequests::HasTimelyRequest(SteadyTime now) const {
  return std::any_of(
      this->requests.begin(), this->requests.end(),
      [&](const auto& item) { return !item.second.IsOverdue(now); });
}

bool ListRequests::HasOverdueRenewal(FencingToken token, SteadyTime now) const {
  return std::any_of(
      this->requests.begin(), this->requests.end(), [&](const auto& item) {
        const ListRequest& request = item.second;
        return request.IsOverdue(now) && request.RenewsLeaseUnder(token);
      });
}

}  // namespace dandelionspur
