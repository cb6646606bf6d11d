#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_CONTROL_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_CONTROL_H_

#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/service_state.h"

namespace dandelionspur {

// Updates the quarantines of services from what is known about their agents,
// and marks the agents whose upstreams are set aside.
class QuarantineControl {
 public:
  QuarantineControl(const Ownership& owner, AgentRegistry& registry,
                    EntryOutbox& effects)
      : ownership(owner), agents(registry), outbox(effects) {}

  // Returns the groups that were quarantined or released.
  std::set<JobGroupId> Update(ServiceState& service, Timestamp now);

 private:
  // The upstreams of the service, down or not, each once.
  [[nodiscard]] std::vector<QuarantineUpstream> Upstreams(
      const ServiceName& service, Timestamp now);
  void MarkAgents(const ServiceState& service);

  const Ownership& ownership;
  AgentRegistry& agents;
  EntryOutbox& outbox;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_CONTROL_H_
