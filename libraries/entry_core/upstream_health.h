#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_UPSTREAM_HEALTH_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_UPSTREAM_HEALTH_H_

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/service_state.h"

namespace dandelionspur {

// Outlier ejection of upstreams by the outcomes of their tasks. An upstream
// that fails several times in a row is put on probation: it receives no task
// for some time, then one at a time until a task succeeds. At most the
// service's `maximum_ejected_percent` of its upstreams are on probation for
// failed tasks, since failures at most upstreams are caused by the tasks
// themselves.
class UpstreamHealth {
 public:
  UpstreamHealth(Duration suspicion, AgentRegistry& registry)
      : suspect_after(suspicion), agents(registry) {}

  // Whether the agent takes any tasks now, if it has free capacity.
  [[nodiscard]] bool MayTakeTasks(const KnownAgent& agent,
                                  Timestamp now) const {
    return agent.IsUsable(now, this->suspect_after);
  }
  // Whether a task with this need may be sent to the agent now.
  [[nodiscard]] bool MayTakeTask(const KnownAgent& agent, const Resources& need,
                                 Timestamp now) const;
  [[nodiscard]] bool IsOnProbation(const KnownAgent& agent) const;
  void ObserveSuccess(KnownAgent& agent, ServiceState& service,
                      Duration declared, Duration elapsed) const;
  void ObserveFailure(KnownAgent& agent, const ServiceState& service,
                      Timestamp now) const;
  // The agent cannot reach its upstream. Puts the agent on hold at once,
  // whatever part of the upstreams is ejected.
  void ObserveUnreachable(KnownAgent& agent, Timestamp now) const;
  // The agent had no free capacity for a task of `need`. This doesn't count as
  // a failure. If the agent's load report shows enough free capacity
  // nevertheless, the agent receives no task for a short pause, so that it
  // isn't tried again at once.
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
