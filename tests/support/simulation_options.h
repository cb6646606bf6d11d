#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_OPTIONS_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_OPTIONS_H_

#include <cstdint>
#include <vector>

#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// A fault injected by altering messages, settings or the state of a process.
// The oracle of SimulatedCluster must detect each of them.
enum class DeliberateFault {
  kNone,
  // Agents accept starts under any ballot.
  kSkipBallotCheck,
  // A home receives a witness reply although no entry has recorded the key.
  kSkipWitness,
  // Agents leave their started sets out of their promise replies.
  kForgetStartedSet,
  // Entries leave their known keys out of their promise replies.
  kForgetWitnessedKeys,
  // A task is run again after a broken connection, whether or not the agent
  // has started it.
  kRerunAfterBrokenConnection,
  // Confirmations are forged, so that no other process confirms a refusal.
  kRefuseWithoutConfirmation,
  // A restarted agent reuses its former id but has lost its state.
  kReuseAgentIncarnation,
  // A restarted entry reuses its former id but has lost its state.
  kReuseEntryIncarnation,
  // A task's result is replaced by that of the first task of its job.
  kWrongResult,
  // Documents are pushed to peers under a version that is one too high, so that
  // an older text comes into force as if it were newer.
  kInflateDocumentVersion,
  // An agent that is asked to leave neither announces it nor stops.
  kIgnoreLeaveRequest,
  // Agents renew leases although no entry confirms their heartbeats.
  kRenewUnconfirmed,
  // Entries assume that the leases of an unresponsive agent have expired
  // before they have.
  kAssumeLeaseExpiredEarly,
  // A restarted agent does not stop the tasks that its predecessor started.
  kKeepPredecessorTasks,
  // Agents read the view without having listed their addresses in the table.
  kOmitAgentFromTable,
  // Entries do not send each other their last contacts with agents.
  kHideSightings,
  // The relays to an entry that ends are returned to their senders as if it had
  // started no task for them.
  kReturnRelaysOfEndedHome,
  // Agents forget under which tasks their upstreams were lost.
  kForgetLosses,
  // Starts do not carry the losses of upstreams that the home knows.
  kOmitLossesFromStarts,
  // Homes ignore the losses of upstreams that agents report.
  kIgnoreLosses,
  // Agents are not told that the capacity of their upstream has shrunk.
  kIgnoreShrunkCapacity,
  // A cancelling is confirmed although the receiver has not recorded it.
  kForgetCancelling,
  // Entries are not told how old their reading of the view is.
  kHideViewAge,
  // Agents report starts as confirmed that their upstreams have not answered.
  kConfirmUnansweredStarts,
  // Entries take starts for over with the lease that are not confirmed.
  kIgnoreLateOrders,
};

// What happens to messages between entries that are in flight on a connection
// when it breaks. kReadLater: half of the breaks leave them in the receiver's
// socket buffer, from which they are read at some later step.
enum class InFlightMessages { kLost, kReadLater };

// The faults that a simulation injects. kGeneral: cuts that mostly end at once.
// kPartialCuts: in addition, cuts between one entry and one agent that outlast
// every lease, while all other connections work.
// kRefusingCuts: as kPartialCuts, but also between two entries, and between one
// agent and all entries; attempts to connect through the cut are refused, as if
// the process had ended.
// kTableCuts: one entry is cut off from the table, and perhaps from the other
// entries, while all others are restarted. An entry sends to another one only
// on the connection that it has dialed itself, as a member of its view.
// kPartitions: the network is divided for long, with one entry beside the table
// and the others without it; each agent is on one side or the other.
// kLateOrders: as kRefusingCuts, with more agents that end; upstreams leave
// some orders unanswered and carry them out late. kCrashingUpstreams: some
// tasks crash the upstreams that run them, capacities change, and entries end;
// messages are delivered soon, and agents live on.
enum class FaultMix {
  kGeneral,
  kPartialCuts,
  kRefusingCuts,
  kTableCuts,
  kCrashingUpstreams,
  kPartitions,
  kLateOrders
};

// Whether the events of each entry are kept for a replay.
enum class StepRecording { kKept, kNotKept };

struct SimulationOptions {
  std::uint32_t entries = 3;
  std::uint32_t agents = 2;
  std::uint32_t buckets = 2;
  // A resubmission uses one of this many latest keys. 0: every submission has
  // a key of its own, so that each key has a single caller and answer.
  std::uint32_t keys = 4;
  std::uint32_t tasks_per_job = 2;
  // The share of the fault steps that take effect, in quarters.
  std::uint32_t intensity = 2;
  // kAfterLease: tasks sometimes fail and may run again, but never twice at
  // the same time; upstreams end tasks whose lease has expired; all processes
  // may be lost at once.
  RerunPolicy rerun = RerunPolicy::kNever;
  InFlightMessages in_flight = InFlightMessages::kLost;
  FaultMix fault_mix = FaultMix::kGeneral;
  DeliberateFault fault = DeliberateFault::kNone;
  // The share of a core of the entry in each slot; empty: all have the same.
  std::vector<std::uint32_t> entry_millicores;
  StepRecording recording = StepRecording::kKept;

  [[nodiscard]] std::uint32_t MillicoresOf(std::uint32_t slot) const {
    return slot < this->entry_millicores.size() ? this->entry_millicores[slot]
                                                : 0;
  }
  [[nodiscard]] bool HasLeases() const {
    return this->rerun == RerunPolicy::kAfterLease;
  }
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_OPTIONS_H_
