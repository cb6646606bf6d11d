#include "libraries/upstream_session/upstream_clock.h"

namespace dandelionspur {

void UpstreamClock::Set(Duration received, SteadyTime now) {
  this->clock = received;
  this->read_at = now;
}

void UpstreamClock::Update(Duration received, SteadyTime now) {
  if (received < this->At(now) - this->maximum_lease) return;
  this->Set(received, now);
}

Duration UpstreamClock::LeaseUntil(SteadyTime now) const {
  return this->At(now) + this->maximum_lease;
}

Duration UpstreamClock::At(SteadyTime now) const {
  return this->clock +
         std::chrono::duration_cast<Duration>(now - this->read_at);
}

}  // namespace dandelionspur
