#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_ORDERS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_ORDERS_H_

#include <chrono>
#include <optional>

#include "libraries/agent_core/agent_events.h"
#include "libraries/upstream_session/fencing_tokens.h"
#include "libraries/upstream_session/lease_grants.h"
#include "libraries/upstream_session/list_number.h"
#include "libraries/upstream_session/list_requests.h"
#include "libraries/upstream_session/session_effects.h"
#include "libraries/upstream_session/upstream_clock.h"
#include "libraries/upstream_session/upstream_tasks.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

// Makes the orders of a session, each under the present fencing token, and
// tracks the leases that they request and the list requests without an answer.
class UpstreamOrders {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `first`: higher than all tokens that earlier processes have used.
  // `maximum_lease`: the longest that the upstream grants, on its own clock.
  UpstreamOrders(FencingToken first, Duration maximum_lease);

  // The session is with another incarnation from now on. Orders to earlier ones
  // have no effect on it once it has received the higher token.
  void BeginIncarnation(Duration upstream_clock, SteadyTime now);
  void SetClock(Duration upstream_clock, SteadyTime now) {
    this->clock.Set(upstream_clock, now);
  }
  // Whether an order under this token was sent to the present incarnation.
  [[nodiscard]] bool IsOfIncarnation(FencingToken sent) const {
    return this->tokens.IsOfIncarnation(sent);
  }

  // Starts the task, under a new lease.
  SendStart Start(const UpstreamHeartbeat& receiver, UpstreamTask& task,
                  SteadyTime now);
  [[nodiscard]] SendStop Stop(const UpstreamHeartbeat& receiver,
                              const TaskRun& run) const;
  // Requests a list, and renews the lease if `renewal` allows it.
  SendList List(const UpstreamHeartbeat& receiver,
                CompletionNumber acknowledged, Duration poll_timeout,
                LeaseRenewal renewal, SteadyTime now);
  // Asks another incarnation whether it is alive.
  SendList Probe(const UpstreamHeartbeat& receiver);

  // Raises the token, so that earlier orders have no effect once the upstream
  // has received a later one.
  void Supersede() { this->tokens.Raise(); }
  // Does so if a list request that renews the lease is overdue. It may be
  // carried out seconds later, when the lease must not be extended any more.
  void SupersedeOverdueLists(SteadyTime now);
  // The upstream has refused an order under this token.
  void ReplaceToken(FencingToken refused) { this->tokens.Replace(refused); }
  // The answer to a probe of another incarnation.
  void OnProbeAnswer(const OrderAnswer& answer);
  // Updates the upstream's clock from the answer to any order.
  void UpdateClock(const OrderAnswer& answer, SteadyTime now);
  // An order that requested this lease was answered. It has granted nothing if
  // it did not leave this process.
  void OnLeaseAnswer(LeaseGrantNumber lease, const OrderAnswer& answer);
  // Returns the request that is answered, unless it was forgotten.
  std::optional<ListRequest> OnListAnswer(ListNumber number,
                                          const OrderAnswer& answer,
                                          SteadyTime now);

  // The number of the next list request.
  [[nodiscard]] ListNumber next_list() const {
    return this->lists.next_number();
  }
  // The list requests without an answer.
  [[nodiscard]] const ListRequests& unanswered_lists() const {
    return this->lists;
  }
  void ForgetLists() { this->lists.Clear(); }
  // Forgets the list requests that were sent more than `age` ago, whose answers
  // are no longer expected.
  void ForgetListsOlderThan(Duration age, SteadyTime now) {
    this->lists.RemoveOlderThan(age, now);
  }
  // Whether no task can be running, nor begin to run, whose start is confirmed,
  // or isn't.
  [[nodiscard]] bool AllLeasesExpired(StartConfirmation starts,
                                      SteadyTime now) const {
    return this->leases.AllExpired(starts, now);
  }

 private:
  FencingTokens tokens;
  UpstreamClock clock;
  // On this process's clock.
  LeaseGrants leases;
  ListRequests lists;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_UPSTREAM_ORDERS_H_
