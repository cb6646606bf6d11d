#ifndef DANDELIONSPUR_SERVICES_ENTRY_CONFIGURATION_AGE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_CONFIGURATION_AGE_H_

#include <chrono>
#include <map>
#include <mutex>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Notes when versions of service documents were read from the table and came
// into force. Safe from any thread.
class ConfigurationAge {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void NoteRead(const ServiceName& service, DocumentVersion version,
                TimePoint now);
  // Returns the time since the version was read; 0 if it came from another
  // entry before the table showed it.
  Duration NoteInForce(const ServiceName& service, DocumentVersion version,
                       TimePoint now);
  // The time since the newest version of a service was read that is not in
  // force, the longest of all services; 0 if all are in force.
  [[nodiscard]] Duration Lag(TimePoint now) const;
  // The newest version in force of any service.
  [[nodiscard]] DocumentVersion NewestInForce() const;

 private:
  struct State {
    DocumentVersion in_force;
    DocumentVersion read;
    TimePoint read_at;
  };

  mutable std::mutex mutex;
  std::map<ServiceName, State> services;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_CONFIGURATION_AGE_H_
