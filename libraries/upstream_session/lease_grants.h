#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASE_GRANTS_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASE_GRANTS_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "libraries/base/strong_type.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Numbers the leases that a session has requested.
using LeaseGrantNumber = StrongType<std::uint64_t, struct LeaseGrantNumberTag>;

// The leases that an agent has requested of its upstream, and the latest time
// at which any of them may expire. A request counts as delivered until the
// opposite is known: without an answer it may be carried out late.
class LeaseGrants {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `run_time`: how long tasks may run after a request at most.
  explicit LeaseGrants(Duration run_time) : maximum_run_time(run_time) {}

  // Records a request that is sent at `now`. Requests must be recorded in the
  // order of their times.
  LeaseGrantNumber Add(SteadyTime now);
  // The request did not leave this process, so it has granted nothing.
  void Withdraw(LeaseGrantNumber number) { this->expiries.erase(number); }
  // Whether every lease that may have been granted has expired.
  [[nodiscard]] bool AllExpired(SteadyTime now) const;

 private:
  Duration maximum_run_time;
  std::uint64_t last_number = 0;
  std::map<LeaseGrantNumber, SteadyTime> expiries;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASE_GRANTS_H_
