#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_TABLE_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_TABLE_H_

#include <map>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// The external table that holds the view and the operator's document. While it
// is down, it is neither read nor written.
class SimulatedTable {
 public:
  [[nodiscard]] bool IsUp() const { return this->up; }
  void BringUp() { this->up = true; }
  // Takes the table down if it is up, or the reverse.
  void ToggleAvailability() { this->up = !this->up; }

  [[nodiscard]] const View& view() const { return this->current_view; }
  // The document in its latest version.
  [[nodiscard]] VersionedDocument Document() const;
  // Adds a member to the view.
  void AddMember(const ViewMember& member, Timestamp now);

  // Lists the address of an agent.
  void ListAgent(const Endpoint& address, Timestamp now) {
    this->agents[address] = now;
  }
  // Marks the address of an agent as vacant, so that it is not listed.
  void ReleaseAgent(const Endpoint& address) { this->agents.erase(address); }
  // The same, unless it was listed within `unchanged_for`.
  void ReleaseAgent(const ReleaseAgentAddress& released, Timestamp now);
  [[nodiscard]] bool IsListed(const Endpoint& address) const {
    return this->agents.contains(address);
  }
  [[nodiscard]] std::vector<Endpoint> ListedAgents() const;

  enum class ProposalResult { kAccepted, kRejected };
  // Replaces the view, if `proposed` directly follows it.
  ProposalResult Propose(const View& proposed);
  // Writes the document under a new version.
  void WriteDocument();

 private:
  bool up = true;
  View current_view;
  // The listed addresses, with the times at which they were claimed.
  std::map<Endpoint, Timestamp> agents;
  DocumentVersion version;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_TABLE_H_
