#include "services/entry/configuration_age.h"

#include <algorithm>

namespace dandelionspur {

void ConfigurationAge::NoteRead(const ServiceName& service,
                                DocumentVersion version, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  State& state = this->services[service];
  if (version <= std::max(state.read, state.in_force)) return;
  state.read = version;
  state.read_at = now;
}

Duration ConfigurationAge::NoteInForce(const ServiceName& service,
                                       DocumentVersion version, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  State& state = this->services[service];
  state.in_force = std::max(state.in_force, version);
  if (state.read != version) return Duration();
  return std::chrono::duration_cast<Duration>(now - state.read_at);
}

Duration ConfigurationAge::Lag(TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  Duration lag{};
  for (const auto& [service, state] : this->services) {
    if (state.read <= state.in_force) continue;
    lag = std::max(lag,
                   std::chrono::duration_cast<Duration>(now - state.read_at));
  }
  return lag;
}

DocumentVersion ConfigurationAge::NewestInForce() const {
  const std::lock_guard lock(this->mutex);
  DocumentVersion newest;
  for (const auto& [service, state] : this->services) {
    newest = std::max(newest, state.in_force);
  }
  return newest;
}

}  // namespace dandelionspur
