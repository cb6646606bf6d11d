#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_PROCESSES_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_PROCESSES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"
#include "tests/support/bucket_homes.h"
#include "tests/support/fault_injector.h"
#include "tests/support/late_orders.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_network.h"
#include "tests/support/simulated_table.h"
#include "tests/support/simulated_upstreams.h"
#include "tests/support/simulation_log.h"
#include "tests/support/simulation_options.h"
#include "tests/support/simulation_oracle.h"

namespace dandelionspur {

// The parts of a simulation that its processes act on.
struct SimulatedSurroundings {
  const SimulationOptions& options;
  const SimulatedClock& clock;
  SimulatedNetwork& network;
  SimulatedUpstreams& upstreams;
  LateOrders& late_orders;
  SimulatedTable& table;
  FaultInjector& faults;
  SimulationOracle& oracle;
  SimulationLog& log;
};

// The entry and agent processes of a simulation. Starts and ends them, passes
// events to the production cores and carries out the resulting effects.
class SimulatedProcesses {
 public:
  explicit SimulatedProcesses(const SimulatedSurroundings& surroundings);

  // Starts a process in a slot. A slot is the place of one process after
  // another, each with an id of its own.
  void StartEntry(std::uint32_t slot);
  void StartAgent(std::uint32_t slot);
  // As above, but reuses the former id if that is the deliberate fault.
  void RestartEntry(std::uint32_t slot);
  void RestartAgent(std::uint32_t slot);
  void TerminateEntry(NodeId id);
  void TerminateAgent(NodeId id);
  // A frozen process handles its events only once it thaws.
  void Freeze(NodeId node);
  void Thaw(NodeId node);
  // Asks the process to stop.
  void Drain(NodeId entry);
  void Leave(NodeId agent);
  // The agent's upstream announces itself with its present capacity.
  void AnnounceUpstream(NodeId agent);
  // Has the entry read the view and the document from the table.
  void ReadTable(NodeId entry);
  // The entry reads and writes nothing in the table until RestoreTable.
  void CutFromTable(NodeId entry) { this->cut_from_table.insert(entry); }
  void RestoreTable() { this->cut_from_table.clear(); }
  // Has the agent look its address up in the table, and read the view there.
  void ReadView(NodeId agent);
  // A timer of the agent is due.
  void TickAgent(NodeId agent);
  // The upstreams carry out the late orders that are due.
  void CarryOutLateOrders();
  // A timer of the entry is due.
  void Tick(NodeId entry);
  // Adds the entry to the view again if it has been removed from it.
  void RejoinView(NodeId entry);

  void Connect(NodeId first, NodeId second);
  void Disconnect(NodeId first, NodeId second,
                  InFlightMessages in_flight = InFlightMessages::kLost);
  // Returns what HandleEntry returns, or 0 if the receiver is an agent.
  std::size_t Deliver(NodeId from, NodeId to, const SimulatedMessage& message);
  // The encoded size of a message in bytes, which decides about what it costs
  // to read.
  [[nodiscard]] static std::size_t SizeOf(const SimulatedMessage& message);
  // The entry's attempt to connect to the other process is refused.
  void NotifyConnectionRefused(NodeId entry, NodeId other);
  // The attempts of all entries to connect to the process that has ended are
  // refused.
  void NotifyConnectionsRefused(NodeId ended);
  void NotifyAllConnectionsRefused();

  // Returns the encoded size of the effects in bytes.
  std::size_t HandleEntry(NodeId id, const EntryEvent& event);
  void HandleAgent(NodeId id, const AgentEvent& event);

  [[nodiscard]] const BucketHomes& homes() const { return this->bucket_homes; }
  [[nodiscard]] bool IsEntry(NodeId node) const {
    return this->entries.contains(node);
  }
  [[nodiscard]] bool IsAlive(NodeId node) const;
  [[nodiscard]] bool IsFrozen(NodeId node) const;
  [[nodiscard]] bool IsEntryAliveIn(std::uint32_t slot) const;
  [[nodiscard]] bool IsAgentAliveIn(std::uint32_t slot) const;
  [[nodiscard]] std::vector<NodeId> AliveEntries() const;
  [[nodiscard]] std::vector<NodeId> AliveAgents() const;
  // The entries, followed by the agents.
  [[nodiscard]] std::vector<NodeId> Alive() const;
  // Whether the agent renews the leases of its tasks.
  [[nodiscard]] LeaseRenewal RenewalOf(NodeId agent) const;
  // Replays the events of every entry on a new core; false if any effect
  // differs.
  [[nodiscard]] bool ReplaysEqually() const;

 private:
  struct RecordedEntryStep {
    EntryEvent event;
    Timestamp now;
    std::string effects;
  };
  struct Entry {
    std::unique_ptr<EntryCore> core;
    std::uint32_t slot = 0;
    bool alive = true;
    bool frozen = false;
    bool draining = false;
    std::deque<EntryEvent> deferred;
    DocumentVersion highest_document;
    Timestamp view_read_at;
    std::vector<RecordedEntryStep> steps;
  };
  struct Agent {
    std::unique_ptr<AgentCore> core;
    std::uint32_t slot = 0;
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    std::deque<AgentEvent> deferred;
  };

  [[nodiscard]] EntryCoreSettings SettingsOf(NodeId entry) const;
  [[nodiscard]] Entry MakeEntry(NodeId id, std::uint32_t slot) const;
  [[nodiscard]] Agent MakeAgent(NodeId id, std::uint32_t slot) const;
  // Starts a process with the id and without the state of a former one.
  void ReviveEntry(NodeId id);
  void ReviveAgent(NodeId id);
  void JoinView(NodeId entry);
  // The entry reads the view, and the agents' addresses once it is a member.
  void ReadView(EntryId entry);
  // Another process answers at the address of the entries that have ended
  // there.
  void NotifyReplaced(std::uint32_t slot);
  void StopPredecessorTasks(std::uint32_t slot);
  // Unless its upstream is silent, the agent has raised the token there after
  // orders without an answer.
  void ResolveLateOrders(NodeId agent);
  void ThawEntry(NodeId id);
  void ThawAgent(NodeId id);
  void NotifyConnectionChange(NodeId node, NodeId other, LinkChange change);
  // Whether the entry may send to the other one only on a connection that it
  // has dialed itself.
  [[nodiscard]] bool NeedsDialing(NodeId node, NodeId other) const;
  // The entry learns of its connection to the other one if it dials it.
  void DialIfMember(NodeId entry, NodeId other);
  void Send(NodeId from, NodeId to, SimulatedMessage message);

  // Carry out an effect of the process `from`.
  void Apply(NodeId from, const AnswerCaller& answer);
  void Apply(NodeId from, const CancelAnswered& answer);
  void Apply(NodeId from, const SendToPeer& sent);
  void Apply(NodeId from, const SendToAgent& sent);
  void Apply(NodeId from, const ProposeView& proposal);
  void Apply(NodeId from, const ReleaseAgentAddress& released);
  void Apply(NodeId from, const ViewInForce& in_force);
  void Apply(NodeId from, const RetryCounted& retried);
  void Apply(NodeId from, const OwnershipChanged& change);
  void Apply(NodeId from, const DocumentInForce& in_force);
  void Apply(NodeId from, const RemovedFromView& removed);
  void Apply(NodeId from, const EntryDrained& drained);
  void Apply(NodeId from, const SendToEntry& sent);
  void Apply(NodeId from, const RunOnUpstream& run);
  void Apply(NodeId from, const ConnectToMembers& members);
  void Apply(NodeId from, const AgentDrained& drained);
  void Apply(NodeId from, const ReleaseAddress& released);
  void Apply(NodeId from, const ClaimAddress& claimed);
  // The other effects have none on the simulation.
  template <typename Effect>
  void Apply(NodeId /*from*/, const Effect& /*effect*/) {}

  const SimulationOptions& options;
  const SimulatedClock& clock;
  SimulatedNetwork& network;
  SimulatedUpstreams& upstreams;
  LateOrders& late_orders;
  SimulatedTable& table;
  FaultInjector& faults;
  SimulationOracle& oracle;
  SimulationLog& log;
  std::map<NodeId, Entry> entries;
  std::map<NodeId, Agent> agents;
  BucketHomes bucket_homes;
  std::set<NodeId> cut_from_table;
  // The agents that have yet to list their addresses in the table again.
  std::set<NodeId> claiming;
  // The connections between entries, each from the one that has dialed it.
  std::set<std::pair<NodeId, NodeId>> dialed;
  NodeId last_node = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_PROCESSES_H_
