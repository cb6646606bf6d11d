#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RECOVERY_LOST_ADDRESSES_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RECOVERY_LOST_ADDRESSES_H_

#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// Finds the addresses whose agents have gone for good, which the table need not
// list any more: entries that join after the loss of all others would wait for
// them. docs/design/recovery-of-all.md has the argument.
class LostAddresses {
 public:
  LostAddresses(EntryId own, const AgentRegistry& registry)
      : self(own), agents(registry) {}

  // The addresses that this member of the view is to release, those for whose
  // agents `are_runs_over` holds. Other members release those of other agents.
  template <typename AreRunsOver>
  [[nodiscard]] std::vector<Endpoint> Find(
      const View& view, const AreRunsOver& are_runs_over) const {
    std::vector<Endpoint> found;
    for (const auto& [id, agent] : this->agents.all()) {
      const bool is_due = agent.description && !agent.connected &&
                          view.IsAmongFirst(this->self, id, 1) &&
                          !this->HasOtherAgent(agent) && are_runs_over(id);
      if (is_due) found.push_back(agent.description->admin_endpoint);
    }
    return found;
  }

 private:
  // Whether another agent that isn't lost has registered for the address.
  [[nodiscard]] bool HasOtherAgent(const KnownAgent& agent) const;

  EntryId self;
  const AgentRegistry& agents;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RECOVERY_LOST_ADDRESSES_H_
