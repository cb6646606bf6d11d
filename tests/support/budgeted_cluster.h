#ifndef DANDELIONSPUR_TESTS_SUPPORT_BUDGETED_CLUSTER_H_
#define DANDELIONSPUR_TESTS_SUPPORT_BUDGETED_CLUSTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/entry_core/call_queue.h"
#include "tests/support/fault_injector.h"
#include "tests/support/late_orders.h"
#include "tests/support/processor_budget.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_network.h"
#include "tests/support/simulated_processes.h"
#include "tests/support/simulated_table.h"
#include "tests/support/simulated_upstreams.h"
#include "tests/support/simulation_log.h"
#include "tests/support/simulation_options.h"
#include "tests/support/simulation_oracle.h"

namespace dandelionspur {

// What a span of simulated time brought its callers.
struct ServiceMeasure {
  std::uint32_t submitted = 0;
  // With a complete answer before the caller's deadline.
  std::uint32_t served = 0;
  // By callers that were served, in order.
  std::vector<Duration> waits;

  [[nodiscard]] double ServedShare() const;
  // The wait that nine of ten served callers don't exceed.
  [[nodiscard]] Duration LongWait() const;
};

// A deterministic simulation of a cluster whose entries have a limited
// processor: each event costs them time, and what they have no time for waits
// in their sockets. Callers submit jobs at a steady rate. Nothing else is
// limited or fails.
class BudgetedCluster {
 public:
  // The entries' shares of a core are in `configured`. `rate`: jobs a second.
  BudgetedCluster(const SimulationOptions& configured, std::uint32_t rate);
  BudgetedCluster(const BudgetedCluster&) = delete;
  BudgetedCluster& operator=(const BudgetedCluster&) = delete;

  // Advances time while callers submit jobs.
  ServiceMeasure Run(Duration span);
  // The entry in the slot gets this share of its processor from now on; 0
  // freezes it.
  void SetSpeed(std::uint32_t slot, std::uint32_t percent);
  // Callers submit this many jobs a second from now on.
  void SetRate(std::uint32_t rate) { this->jobs_per_second = rate; }

  // How late the entry's timer is, and so its handling of events.
  [[nodiscard]] Duration LagOf(std::uint32_t slot) const;
  // The entry's buckets over the number that its share of all processors is
  // worth.
  [[nodiscard]] double ShareHeldBy(std::uint32_t slot) const;
  // The slot of the bucket's home, or nothing while it has none.
  [[nodiscard]] std::optional<std::uint32_t> HomeOf(BucketId bucket) const;
  [[nodiscard]] std::uint64_t moves() const {
    return this->processes.homes().moves();
  }
  [[nodiscard]] const std::optional<std::string>& violation() const {
    return this->oracle.violation();
  }
  [[nodiscard]] std::string Log() const { return this->log.Text(); }

 private:
  // A job that its caller has sent to an entry.
  struct Call {
    JobSubmission job;
    Timestamp arrived;
  };
  struct Entry {
    NodeId node = 0;
    ProcessorBudget budget;
    CallQueue<Call> calls;
    Timestamp tick_due;
    std::uint32_t ticks = 0;
    // The sender of the message that was read last.
    NodeId last_read = 0;
  };
  struct PendingRequest {
    RequestId request;
    Timestamp arrived;
  };

  void Step();
  void SubmitJobs();
  // Handles one event of the entry. Returns its cost; 0 if there is none.
  Duration HandleNext(Entry& entry);
  Duration HandleCall(Entry& entry);
  Duration HandleTick(Entry& entry);
  void RunAgents();
  void DeliverToAgents();
  void CollectAnswers(ServiceMeasure& measure);

  SimulationOptions options;
  std::uint32_t jobs_per_second;
  SimulatedClock clock;
  SimulationLog log;
  SimulationOracle oracle;
  SimulatedNetwork network;
  SimulatedUpstreams upstreams;
  LateOrders late_orders;
  SimulatedTable table;
  FaultInjector faults;
  SimulatedProcesses processes;
  std::vector<Entry> entries;
  std::vector<PendingRequest> pending;
  std::uint32_t key_count = 0;
  // Of a job, in thousandths; what the rate leaves over from earlier steps.
  std::uint64_t due_jobs = 0;
  Timestamp next_agent_tick;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_BUDGETED_CLUSTER_H_
