#include "tests/support/simulated_table.h"

#include "tests/support/simulated_workload.h"

namespace dandelionspur {
namespace {

constexpr const char* kDocumentText =
    R"({"service": "s", "owner": "o", "maximum_queued_tasks": 5,)"
    R"( "maximum_deadline_ms": 60000})";

}  // namespace

VersionedDocument SimulatedTable::Document() const {
  return {kSimulatedService, this->version, kDocumentText};
}

void SimulatedTable::AddMember(const ViewMember& member, Timestamp now) {
  if (!this->up) return;
  this->current_view = WithMember(this->current_view, member, now);
}

void SimulatedTable::ReleaseAgent(const ReleaseAgentAddress& released,
                                  Timestamp now) {
  const auto found = this->agents.find(released.address);
  if (found == this->agents.end()) return;
  if (now - found->second < released.unchanged_for) return;
  this->agents.erase(found);
}

std::vector<Endpoint> SimulatedTable::ListedAgents() const {
  std::vector<Endpoint> listed;
  for (const auto& [address, claimed_at] : this->agents) {
    listed.push_back(address);
  }
  return listed;
}

SimulatedTable::ProposalResult SimulatedTable::Propose(const View& proposed) {
  const bool follows =
      proposed.epoch.value() == this->current_view.epoch.value() + 1;
  if (!this->up || !follows) return ProposalResult::kRejected;
  this->current_view = proposed;
  return ProposalResult::kAccepted;
}

void SimulatedTable::WriteDocument() {
  if (!this->up) return;
  this->version = DocumentVersion(this->version.value() + 1);
}

}  // namespace dandelionspur
