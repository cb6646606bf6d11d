#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_CONTROL_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_CONTROL_H_

#include <set>
#include <vector>

#include "libraries/entry_core/early_refusals.h"
#include "libraries/entry_core/home_context.h"

namespace dandelionspur {

// Updates the quarantines of services from what is known about their agents,
// marks the agents whose upstreams are set aside, and moves the queued jobs of
// the groups that this concerns.
class QuarantineControl {
 public:
  QuarantineControl(const HomeContext& context, EarlyRefusals& refusals)
      : ownership(context.ownership),
        agents(context.agents),
        jobs(context.jobs),
        queues(context.queues),
        outbox(context.outbox),
        early_refusals(refusals) {}

  // Records the losses that the agent reports of its own upstream.
  void OnRecentLosses(AgentId from, const std::vector<RecentLoss>& reported,
                      Timestamp now);
  void Tick(Timestamp now);

 private:
  // Quarantines and releases groups of the service's jobs.
  void Update(ServiceState& service, Timestamp now);
  // Returns the groups that were quarantined or released.
  std::set<JobGroupId> UpdateGroups(ServiceState& service, Timestamp now);
  // Moves the queued jobs of groups that were quarantined or released to their
  // new queues.
  void Requeue(const ServiceName& service, const std::set<JobGroupId>& groups);
  // The upstreams of the service, down or not, each once.
  [[nodiscard]] std::vector<QuarantineUpstream> Upstreams(
      const ServiceName& service, Timestamp now);
  void MarkAgents(const ServiceState& service);

  const Ownership& ownership;
  AgentRegistry& agents;
  JobTable& jobs;
  ServiceQueues& queues;
  EntryOutbox& outbox;
  EarlyRefusals& early_refusals;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_CONTROL_H_
