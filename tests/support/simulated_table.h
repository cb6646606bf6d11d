#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_TABLE_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_TABLE_H_

#include <set>
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
  void ListAgent(const Endpoint& address);
  [[nodiscard]] std::vector<Endpoint> ListedAgents() const {
    return {this->agents.begin(), this->agents.end()};
  }

  enum class ProposalResult { kAccepted, kRejected };
  // Replaces the view, if `proposed` directly follows it.
  ProposalResult Propose(const View& proposed);
  // Writes the document under a new version.
  void WriteDocument();

 private:
  bool up = true;
  View current_view;
  std::set<Endpoint> agents;
  DocumentVersion version;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_TABLE_H_
