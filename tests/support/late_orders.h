#ifndef DANDELIONSPUR_TESTS_SUPPORT_LATE_ORDERS_H_
#define DANDELIONSPUR_TESTS_SUPPORT_LATE_ORDERS_H_

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_network.h"

namespace dandelionspur {

// The orders of simulated agents that their upstreams have not answered and
// will carry out late, with a lease that counts from then, unless a later order
// under a higher fencing token comes first.
class LateOrders {
 public:
  explicit LateOrders(const SimulatedClock& simulated) : clock(simulated) {}

  struct LateStart {
    NodeId agent = 0;
    RunOnUpstream run;
    Timestamp sent_at;
    Timestamp due_at;
  };

  // Whether the next order gets no answer.
  [[nodiscard]] bool IsNextUnanswered();
  // Some of the upstreams answer nothing for some time after that.
  void AddStart(NodeId agent, const RunOnUpstream& run);
  // A list request that renews the leases of the agent's tasks.
  void AddRenewal(NodeId agent);
  [[nodiscard]] bool IsUpstreamSilent(NodeId agent) const;
  // The agent has sent an order under a higher token. Returns the tasks whose
  // starts have no effect any more: those sent a moment ago are not overdue
  // yet.
  std::vector<TaskId> SupersedeOverdue(NodeId agent);
  // A successor of the agent has sent an order under a higher token.
  void SupersedeAll(NodeId agent);
  // The tasks of the agent whose starts are not answered.
  [[nodiscard]] std::vector<TaskId> UnansweredStarts(NodeId agent) const;
  // The orders to carry out now, which are removed.
  std::vector<LateStart> TakeDueStarts();
  std::vector<NodeId> TakeDueRenewals();

 private:
  struct LateRenewal {
    NodeId agent = 0;
    Timestamp sent_at;
    Timestamp due_at;
  };

  // A time in this range from now.
  [[nodiscard]] Timestamp PickTime(Duration earliest, Duration latest);
  [[nodiscard]] bool IsOverdue(Timestamp sent_at) const;

  const SimulatedClock& clock;
  std::minstd_rand random;
  std::vector<LateStart> starts;
  std::vector<LateRenewal> renewals;
  std::map<NodeId, Timestamp> silent_until;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_LATE_ORDERS_H_
