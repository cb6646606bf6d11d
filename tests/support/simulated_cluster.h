#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLUSTER_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLUSTER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tests/support/fault_injector.h"
#include "tests/support/late_orders.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_crashes.h"
#include "tests/support/simulated_network.h"
#include "tests/support/simulated_processes.h"
#include "tests/support/simulated_table.h"
#include "tests/support/simulated_upstreams.h"
#include "tests/support/simulation_log.h"
#include "tests/support/simulation_options.h"
#include "tests/support/simulation_oracle.h"

namespace dandelionspur {

// A deterministic simulation of a cluster. It runs the production entry and
// agent cores with a simulated network, clock, table and upstreams, one step at
// a time. Its oracle checks the guarantees of the protocol.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(const SimulationOptions& configured);
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Performs the simulation step that is derived from `choice`.
  void Step(std::uint32_t choice);
  // Clears all faults and advances time for long enough for every job to
  // complete.
  void RunToCompletion();
  // The first violation of a guarantee, if there was any.
  [[nodiscard]] const std::optional<std::string>& violation() const {
    return this->oracle.violation();
  }
  // The events of the simulation, one per line.
  [[nodiscard]] std::string Log() const { return this->log.Text(); }
  [[nodiscard]] std::uint32_t starts() const { return this->oracle.starts(); }
  [[nodiscard]] std::uint32_t answers() const { return this->oracle.answers(); }
  [[nodiscard]] std::uint32_t refusals() const {
    return this->oracle.refusals();
  }
  [[nodiscard]] std::uint32_t complete_answers() const {
    return this->oracle.complete_answers();
  }
  // Replays the events of every entry on a new core; false if any effect
  // differs.
  [[nodiscard]] bool ReplaysEqually() const {
    return this->processes.ReplaysEqually();
  }

 private:
  // A step of one of 128 kinds, by their number: the first ones make progress,
  // the others inject a fault.
  void MakeProgress(std::uint32_t kind, std::uint32_t choice);
  void InjectFault(std::uint32_t kind, std::uint32_t choice);
  // As above, for kCrashingUpstreams.
  void InjectCrashFault(std::uint32_t kind, std::uint32_t choice);

  // The simulation steps.
  void DeliverSome(std::uint32_t choice);
  void DeliverOne(std::uint32_t choice);
  // Changes who is home of the buckets, while one entry's messages to another
  // one are delayed: an entry ends and is proven dead at once, or one starts.
  void ChangeHomes(std::uint32_t choice);
  // Delivers all messages but those from `from` to `to`.
  void DeliverAllBut(NodeId from, NodeId to);
  // Advances time as AdvanceTime does, after all messages have been delivered.
  void AdvanceTimeAfterDelivery(std::uint32_t choice);
  // Delivers a message out of order, or cuts one link for long, by the mix of
  // faults.
  void DisturbLink(std::uint32_t choice);
  void DeliverOutOfOrder(std::uint32_t choice);
  // Cuts one entry and one agent off from each other until all leases would
  // have expired that only this entry has confirmed. Everything else works.
  void CutPartially(std::uint32_t choice);
  // As above, but the cut refuses connections, and may also separate an agent
  // from all entries or an entry from another one.
  void CutWithRefusals(std::uint32_t choice);
  // Cuts one entry off from the table, and perhaps from all other entries,
  // while these are restarted and join again. Its agents can be reached by all.
  void CutFromTable(std::uint32_t choice);
  void PassCutTick(NodeId cut, bool is_isolated);
  // Divides the network for longer than it takes the entry beside the table to
  // remove the others and to act alone. Callers reach both sides.
  void Partition(std::uint32_t choice);
  void PassPartitionTick(const std::vector<NodeId>& near,
                         const std::vector<NodeId>& far);
  // All entries read the table, and the agents that no entry confirms.
  void PollByAll();
  // Keeps the links from `node` to `others` cut for that long.
  void CutForLong(NodeId node, const std::vector<NodeId>& others);
  void Submit(std::uint32_t choice);
  void AdvanceTime(Duration step);
  void FinishTask(std::uint32_t choice);
  void PollTable(std::uint32_t choice);
  void KillEntry(std::uint32_t choice);
  void KillAgent(std::uint32_t choice);
  void RestartOne(std::uint32_t choice);
  void FreezeOrThaw(std::uint32_t choice);
  void CutOrReconnect(std::uint32_t choice);
  void Cancel(std::uint32_t choice);
  // Submits each job once more whose cancelling was acknowledged.
  void SubmitCancelled();
  void DrainOne(std::uint32_t choice);
  void LeaveOne(std::uint32_t choice);

  // Runs without faults until all processes have joined the cluster.
  void BringUp();
  // Ends the tasks whose leases have expired.
  void ExpireLeases();
  // Extends the leases of the agent's tasks unless their renewal is suspended.
  void ExtendLeases(NodeId agent);
  // The number of a new key, or of one of the latest keys.
  std::uint32_t PickKey(std::uint32_t choice);
  void KillAll();
  // Restarts all processes that are down.
  void RestartAll();
  void ClearFaults();
  void ThawAll();
  // Connects the entry to all other processes.
  void ReconnectEntry(NodeId entry);
  // Delivers the messages in flight and those that follow from them.
  void DeliverAll();
  void CheckAllAnswered();

  SimulationOptions options;
  SimulatedClock clock;
  SimulationLog log;
  SimulationOracle oracle;
  SimulatedNetwork network;
  SimulatedUpstreams upstreams;
  LateOrders late_orders;
  SimulatedTable table;
  FaultInjector faults;
  SimulatedProcesses processes;
  SimulatedCrashes crashes;
  std::uint32_t key_count = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLUSTER_H_
