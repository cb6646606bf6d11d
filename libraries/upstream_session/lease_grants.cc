#include "libraries/upstream_session/lease_grants.h"

namespace dandelionspur {

LeaseGrantNumber LeaseGrants::Add(SteadyTime now) {
  std::erase_if(this->expiries,
                [&](const auto& grant) { return grant.second < now; });
  const LeaseGrantNumber number(++this->last_number);
  this->expiries.emplace(number, now + this->maximum_run_time);
  return number;
}

bool LeaseGrants::AllExpired(SteadyTime now) const {
  return this->expiries.empty() || this->expiries.rbegin()->second < now;
}

}  // namespace dandelionspur
