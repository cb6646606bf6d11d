#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_GAUGES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_GAUGES_H_

#include <string>

#include "libraries/entry_core/entry_core.h"
#include "libraries/network/http_server.h"
#include "libraries/telemetry/metrics.h"
#include "services/entry/configuration_age.h"
#include "services/entry/entry_links.h"
#include "services/entry/job_intake.h"

namespace dandelionspur {

// The gauges of an entry, which are computed only when metrics are read. Used
// on the core's thread only.
class EntryGauges {
 public:
  EntryGauges(const EntryCore& entry_core, const JobIntake& job_intake,
              const EntryLinks& entry_links, const HttpServer& callers,
              const ConfigurationAge& age, Metrics& entry_metrics);

  // Sets all gauges to the present values.
  void Update();

 private:
  void SetJobs();
  void SetConfiguration();
  void SetConnections();
  void SetMemory();
  // The age of the oldest report among those of the connected agents.
  [[nodiscard]] Duration OldestAgentReport() const;
  // Sets a gauge to a duration, in seconds.
  void SetSeconds(const std::string& name, Duration value);

  const EntryCore& core;
  const JobIntake& intake;
  const EntryLinks& links;
  const HttpServer& caller_server;
  const ConfigurationAge& configuration_age;
  Metrics& metrics;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_GAUGES_H_
