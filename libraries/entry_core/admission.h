#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ADMISSION_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ADMISSION_H_

#include <optional>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/service_state.h"

namespace dandelionspur {

// Decides whether a new job can be served, from the queue of its service and
// the capacity of the service's upstreams.
class Admission {
 public:
  Admission(Duration window, const AgentRegistry& registry)
      : duplicate_window(window), agents(registry) {}

  // The reason to refuse a new job, or nothing if the job is admitted.
  // `service`: nullptr if no such service is known.
  [[nodiscard]] std::optional<Reason> Check(const HomeJob& job,
                                            const ServiceState* service,
                                            Timestamp now) const;
  // Whether each queued task of the job fits into the total capacity of an
  // upstream that is there or may return.
  [[nodiscard]] bool MayEverStart(const HomeJob& job) const;
  // Estimated time until all queued tasks have been started that share the
  // upstreams of this group: those of the group alone if it is quarantined, and
  // else those of all groups that are not.
  [[nodiscard]] Duration ExpectedWait(const ServiceState& service,
                                      JobGroupId group, Timestamp now) const;
  // Estimated time until a quarantined group's queued tasks of this core time
  // have been started.
  [[nodiscard]] Duration WaitInQuarantine(const ServiceState& service,
                                          JobGroupId group, Duration core_time,
                                          Timestamp now) const;
  // The number of cores that ExpectedWait assumes; at least one.
  [[nodiscard]] double CoresFor(const ServiceState& service,
                                JobGroupId group) const;

 private:
  Duration duplicate_window;
  const AgentRegistry& agents;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ADMISSION_H_
