#include "libraries/upstream_session/lease_grants.h"

namespace dandelionspur {

LeaseGrantNumber LeaseGrants::Add(SteadyTime now) {
  const Duration longest =
      MaximumRunTime(this->maximum_lease, StartConfirmation::kUnconfirmed);
  while (!this->sent.empty() && this->sent.begin()->second + longest < now) {
    this->sent.erase(this->sent.begin());
  }
  const LeaseGrantNumber number(++this->last_number);
  this->sent.emplace(number, now);
  return number;
}

bool LeaseGrants::AllExpired(StartConfirmation starts, SteadyTime now) const {
  if (this->sent.empty()) return true;
  const SteadyTime latest = this->sent.rbegin()->second;
  return latest + MaximumRunTime(this->maximum_lease, starts) < now;
}

}  // namespace dandelionspur
