#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_PLACEMENT_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_PLACEMENT_H_

#include <optional>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/job_preview.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/placement.h"
#include "libraries/entry_core/service_state.h"
#include "libraries/entry_core/upstream_health.h"
#include "libraries/protocol/upstream_losses.h"

namespace dandelionspur {

// The agent that was chosen for a task, and why.
struct PlacementChoice {
  KnownAgent* agent = nullptr;
  PlacementReason reason = PlacementReason::kFastestFree;
  PlacementScope scope = PlacementScope::kOrdinary;
};

// Chooses the agents that queued tasks are sent to.
class TaskPlacement {
 public:
  TaskPlacement(const Ownership& owner, AgentRegistry& registry,
                const UpstreamHealth& upstream_health,
                const UpstreamLosses& upstream_losses)
      : ownership(owner),
        agents(registry),
        health(upstream_health),
        losses(upstream_losses) {}

  // The agent for the job's next queued task, or nothing if no agent that has
  // promised the ballot of the job's bucket has free capacity.
  [[nodiscard]] std::optional<PlacementChoice> Choose(const HomeJob& job,
                                                      ServiceState& service,
                                                      Timestamp now);
  // What Choose decides for the job's next queued task now, and why it passes
  // over the other upstreams; for reports only. Changes the service's policy
  // like Choose.
  [[nodiscard]] PlacementPreview Preview(const HomeJob& job,
                                         ServiceState& service,
                                         Duration suspect_after, Timestamp now);

 private:
  // Fills `candidates` with the agents that have free capacity for the task.
  // `reserve`: what the task must leave free at an upstream.
  void CollectCandidates(const HomeJob& job, TaskIndex index,
                         PlacementScope scope, const Resources& reserve,
                         Timestamp now);
  // The part of the upstreams where the job's tasks may run now.
  [[nodiscard]] PlacementScope ScopeOf(const HomeJob& job,
                                       const Resources& need,
                                       const Quarantine& quarantine,
                                       Timestamp now) const;
  // Leaves only candidates where no group runs that slows down the job's group
  // or is slowed down by it, if some are about as fast as the others. Returns
  // whether any was passed over.
  bool KeepApartFromInterference(const HomeJob& job,
                                 const ServiceState& service);
  // Leaves only candidates without other suspects, if there are any.
  void KeepApartFromSuspects();
  // Leaves only candidates where few tasks fail, if there are any.
  void KeepReliable();
  // Chooses among `candidates` with the policy. Returns nullptr if none of them
  // has promised the ballot of the job's bucket.
  template <PlacementPolicy Policy>
  [[nodiscard]] KnownAgent* ChooseCandidate(const HomeJob& job, Policy& policy,
                                            const PlacementRequest& request);

  const Ownership& ownership;
  AgentRegistry& agents;
  const UpstreamHealth& health;
  const UpstreamLosses& losses;
  // A member only to reuse its allocation; the content is per decision.
  Candidates candidates;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_PLACEMENT_H_
