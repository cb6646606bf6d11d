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
  // Estimated time until all tasks in the service's queue have been started.
  [[nodiscard]] Duration ExpectedWait(const ServiceState& service) const;

 private:
  Duration duplicate_window;
  const AgentRegistry& agents;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ADMISSION_H_
