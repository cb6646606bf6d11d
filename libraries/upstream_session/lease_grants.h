#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASE_GRANTS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASE_GRANTS_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "libraries/base/strong_type.h"
#include "libraries/base/time.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// Numbers the leases that a session has requested.
using LeaseGrantNumber = StrongType<std::uint64_t, struct LeaseGrantNumberTag>;

// The leases that an agent has requested of its upstream, and until when tasks
// may run under them. A request counts as delivered until the opposite is
// known: without an answer it may be carried out late.
class LeaseGrants {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `longest`: the longest lease that the upstream grants, on its own clock.
  explicit LeaseGrants(Duration longest) : maximum_lease(longest) {}

  // Records a request that is sent at `now`. Requests must be recorded in the
  // order of their times.
  LeaseGrantNumber Add(SteadyTime now);
  // The request did not leave this process, so it has granted nothing.
  void Withdraw(LeaseGrantNumber number) { this->sent.erase(number); }
  // Whether no task can be running under any of the leases, nor begin to run,
  // whose starts are confirmed, or aren't.
  [[nodiscard]] bool AllExpired(StartConfirmation starts, SteadyTime now) const;

 private:
  Duration maximum_lease;
  std::uint64_t last_number = 0;
  // When each request was sent that may have an effect, oldest first.
  std::map<LeaseGrantNumber, SteadyTime> sent;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASE_GRANTS_H_
