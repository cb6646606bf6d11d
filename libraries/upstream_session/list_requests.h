#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LIST_REQUESTS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LIST_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/upstream_session/lease_grants.h"
#include "libraries/upstream_session/list_number.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

// A list request that was sent to an upstream and is not answered yet.
struct ListRequest {
  using SteadyTime = std::chrono::steady_clock::time_point;

  FencingToken token;
  SteadyTime sent_at;
  // How long the upstream may delay the answer.
  Duration poll_timeout{};
  // The lease that the request renews.
  std::optional<LeaseGrantNumber> lease;

  [[nodiscard]] bool IsOverdue(SteadyTime now) const;
  // Whether the request, carried out late, would extend the lease under this
  // token.
  [[nodiscard]] bool RenewsLeaseUnder(FencingToken present) const {
    return this->lease.has_value() && this->token == present;
  }
};

// Numbers the list requests of a session, and holds those that are not answered
// yet.
class ListRequests {
 public:
  using SteadyTime = ListRequest::SteadyTime;

  // Takes the number for a request.
  ListNumber TakeNumber() { return ListNumber(++this->last_number); }
  // The number of the next request.
  [[nodiscard]] ListNumber next_number() const {
    return ListNumber(this->last_number + 1);
  }
  void Add(ListNumber number, const ListRequest& request) {
    this->requests.emplace(number, request);
  }
  // Removes and returns the request, unless it was answered or forgotten.
  std::optional<ListRequest> Remove(ListNumber number);
  // Removes the requests that were sent more than `age` ago, whose answers are
  // no longer expected.
  void RemoveOlderThan(Duration age, SteadyTime now);
  void Clear() { this->requests.clear(); }

  [[nodiscard]] bool empty() const { return this->requests.empty(); }
  // Whether there is a request whose answer is not overdue.
  [[nodiscard]] bool HasTimelyRequest(SteadyTime now) const;
  // Whether an overdue request renews the lease under this token.
  [[nodiscard]] bool HasOverdueRenewal(FencingToken token,
                                       SteadyTime now) const;

 private:
  std::uint64_t last_number = 0;
  std::map<ListNumber, ListRequest> requests;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LIST_REQUESTS_H_
