#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CANDIDATE_VERDICT_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CANDIDATE_VERDICT_H_

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/job_preview.h"
#include "libraries/entry_core/upstream_health.h"

namespace dandelionspur {

// Why an agent that placement has left out of the candidates takes no task with
// this need; for reports only. `suspect_after`: the silence after which an
// agent gets no tasks.
inline CandidateVerdict WhyLeftOut(const KnownAgent& agent,
                                   const Resources& need,
                                   const UpstreamHealth& health,
                                   Duration suspect_after, Timestamp now) {
  if (agent.lost_at) return CandidateVerdict::kLost;
  if (!agent.connected) return CandidateVerdict::kDisconnected;
  if (agent.leaving) return CandidateVerdict::kLeaving;
  if (agent.evacuated) return CandidateVerdict::kEvacuated;
  if (!agent.ready) return CandidateVerdict::kRegistering;
  if (!agent.load.accepting) return CandidateVerdict::kNotAccepting;
  if (now - agent.last_heard > suspect_after) return CandidateVerdict::kSilent;
  const bool is_paused = now < agent.usable_from;
  if (health.IsOnProbation(agent) && (is_paused || agent.running > 0)) {
    return CandidateVerdict::kOnProbation;
  }
  if (is_paused) return CandidateVerdict::kPaused;
  if (!agent.HasCapacityFor(need)) return CandidateVerdict::kFull;
  // It has room, which is kept free for tasks of higher priority or grows only
  // slowly after the return of its data centre.
  return CandidateVerdict::kKeptFree;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CANDIDATE_VERDICT_H_
