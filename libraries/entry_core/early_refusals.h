#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EARLY_REFUSALS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EARLY_REFUSALS_H_

#include "libraries/entry_core/admission.h"
#include "libraries/entry_core/home_context.h"
#include "libraries/entry_core/job_finisher.h"

namespace dandelionspur {

// Ends admitted jobs as soon as it is known that they cannot be served in time,
// so that their callers can try elsewhere or later.
class EarlyRefusals {
 public:
  EarlyRefusals(const HomeContext& context, const Admission& admission_control,
                JobFinisher& job_finisher)
      : agents(context.agents),
        jobs(context.jobs),
        queues(context.queues),
        admission(admission_control),
        finisher(job_finisher) {}

  // Abandons the jobs that must be refused or answered now for the answer to
  // reach the caller before the deadline.
  void AbandonBeforeDeadlines(Timestamp now);
  // Refuses deprioritized jobs without starts that cannot meet their deadlines.
  void RefuseUnservable(Timestamp now);
  // Refuses the jobs without starts that the upstreams of their quarantined
  // groups cannot serve in time.
  void RefuseUnservableInQuarantine(ServiceState& service, Timestamp now);
  // Refuses the service's jobs with a queued task that no upstream can hold.
  void RefuseOversized(const ServiceName& service, Timestamp now);
  // Refuses the jobs without starts whose service has no upstream left, since
  // all data centres that have any are evacuated.
  void RefuseEvacuated(Timestamp now);
  // Moves queued jobs that can no longer meet their objective behind all
  // others, and refuses those without starts whose answer would be of no use.
  void DeprioritizeOverdue(ServiceState& service, Timestamp now);

 private:
  const AgentRegistry& agents;
  JobTable& jobs;
  ServiceQueues& queues;
  const Admission& admission;
  JobFinisher& finisher;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EARLY_REFUSALS_H_
