#ifndef DANDELIONSPUR_TESTS_SUPPORT_FAULT_INJECTOR_H_
#define DANDELIONSPUR_TESTS_SUPPORT_FAULT_INJECTOR_H_

#include <map>
#include <set>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "tests/support/simulated_clock.h"
#include "tests/support/simulated_network.h"
#include "tests/support/simulation_options.h"

namespace dandelionspur {

// Applies a deliberate fault to messages and events.
class FaultInjector {
 public:
  FaultInjector(DeliberateFault injected, SimulatedNetwork& simulated_network,
                const SimulatedClock& simulated_clock)
      : fault(injected), network(simulated_network), clock(simulated_clock) {}

  enum class Outcome { kSend, kDrop };
  // Applies the fault to a message that is about to be sent on the current
  // connection from `from` to `to`.
  [[nodiscard]] Outcome AlterMessage(NodeId from, NodeId to,
                                     SimulatedMessage& message);
  // For kReturnRelaysOfEndedHome, the forged returns of the relays that were
  // sent to the entry, each with the entry that sent the relay.
  struct ForgedReturn {
    NodeId to = 0;
    RelayMoved message;
  };
  [[nodiscard]] std::vector<ForgedReturn> TakeReturnsOf(NodeId ended);
  // For kRenewUnconfirmed, has the agent handle an event as if the sender of
  // each message had just received one of its heartbeats. Otherwise returns the
  // event as it is.
  [[nodiscard]] AgentEvent ForgeContact(AgentCore& agent,
                                        AgentEvent event) const;

 private:
  // Prepares the forged return of a relay, if `message` is one.
  // Agents confirm cancellings that they have not recorded.
  void HideCancelling(SimulatedMessage& message);
  void RecordRelay(NodeId from, NodeId to, const SimulatedMessage& message);
  // Replies to a request in place of its receiver, if `message` is one.
  [[nodiscard]] Outcome ForgeWitnessReply(NodeId from, NodeId to,
                                          const SimulatedMessage& message);
  [[nodiscard]] Outcome ForgeCancelConfirmation(
      NodeId from, NodeId to, const SimulatedMessage& message);
  [[nodiscard]] Outcome ForgeConfirmReply(NodeId from, NodeId to,
                                          const SimulatedMessage& message);

  DeliberateFault fault;
  SimulatedNetwork& network;
  const SimulatedClock& clock;
  // By the entry that the relay was sent to.
  std::map<NodeId, std::vector<ForgedReturn>> forged_returns;
  std::set<JobKey> hidden_cancellings;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_FAULT_INJECTOR_H_
