#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_UPSTREAM_HEALTH_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_UPSTREAM_HEALTH_H_

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/service_state.h"

namespace dandelionspur {

// Judges upstreams by how their tasks end. One that fails several times in a
// row gets no task for a while, then one at a time until one succeeds; the
// part of a service's upstreams that is kept out so is bounded, since failures
// everywhere are the tasks' fault.
class UpstreamHealth {
 public:
  UpstreamHealth(Duration suspicion, AgentRegistry& registry)
      : suspect_after(suspicion), agents(registry) {}

  // Whether a task with this need may go to the agent now.
  [[nodiscard]] bool MayTakeTask(const KnownAgent& agent, const Resources& need,
                                 Timestamp now) const;
  [[nodiscard]] bool IsOnProbation(const KnownAgent& agent) const;
  void ObserveSuccess(KnownAgent& agent, ServiceState& service,
                      Duration declared, Duration elapsed) const;
  void ObserveFailure(KnownAgent& agent, const ServiceState& service,
                      Timestamp now) const;
  // The upstream can't be reached at all.
  void ObserveUnreachable(KnownAgent& agent, Timestamp now) const;
  // The agent had no room for a task of `need`. That is no failure, but an
  // agent that counts room all the same is not asked again at once.
  void ObserveFull(KnownAgent& agent, const Resources& need,
                   Timestamp now) const;

 private:
  [[nodiscard]] bool MayEjectAnother(const KnownAgent& agent,
                                     const ServiceState& service) const;

  Duration suspect_after;
  AgentRegistry& agents;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_UPSTREAM_HEALTH_H_
