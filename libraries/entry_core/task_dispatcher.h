#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_DISPATCHER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_DISPATCHER_H_

#include <cstdint>

#include "libraries/entry_core/early_refusals.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/home_context.h"
#include "libraries/entry_core/job_finisher.h"
#include "libraries/entry_core/send_budget.h"
#include "libraries/entry_core/task_placement.h"
#include "libraries/entry_core/upstream_health.h"
#include "libraries/protocol/upstream_losses.h"

namespace dandelionspur {

// Starts the queued tasks of a home at agents with free capacity, within what
// its link can send, and notifies the agents of tasks that must wait.
class TaskDispatcher {
 public:
  TaskDispatcher(const EntryCoreSettings& configured,
                 const HomeContext& context, const UpstreamHealth& health,
                 const UpstreamLosses& upstream_losses, EarlyRefusals& refusals,
                 JobFinisher& job_finisher);

  // Records the bytes of starts and relays that wait for the link.
  void NoteSendBacklog(std::uint64_t bytes, Timestamp now) {
    this->send_budget.NoteBacklog(bytes, now);
  }
  void Dispatch(Timestamp now);
  // Where the next task of a job that is not queued would start; for reports.
  [[nodiscard]] PlacementPreview Preview(const HomeJob& job,
                                         ServiceState& service, Timestamp now) {
    return this->placement.Preview(job, service, this->suspect_after, now);
  }

 private:
  void DispatchService(ServiceState& service, Timestamp now);
  // Starts the tasks of the jobs that `next_job` names while agents have free
  // capacity for them.
  template <typename NextJob>
  void DispatchQueue(ServiceState& service, Timestamp now,
                     const NextJob& next_job);
  // Starts a task of a job that is in time and of higher priority than
  // `priority`, which may use the room that the next job must leave free.
  // Returns whether there was one.
  bool StartInTime(std::uint32_t priority, ServiceState& service,
                   Timestamp now);
  // Starts the next task of the job, a job of the service.
  void StartTask(HomeJob& job, ServiceState& service,
                 const PlacementChoice& choice, Timestamp now);
  // Whether the job must leave the free capacity to jobs that other entries
  // queue: it is late, and those can still meet their objectives.
  [[nodiscard]] bool YieldsToPeers(const HomeJob& job,
                                   const ServiceState& service) const;
  void SendDemandNotices(ServiceState& service, Timestamp now);

  Duration suspect_after;
  const Ownership& ownership;
  AgentRegistry& agents;
  JobTable& jobs;
  ServiceQueues& queues;
  OutstandingTasks& outstanding;
  EntryOutbox& outbox;
  const UpstreamLosses& losses;
  EarlyRefusals& early_refusals;
  JobFinisher& finisher;
  TaskPlacement placement;
  SendBudget send_budget;
  // Counts the starts by this home over all jobs, so that the starts of a job
  // that is submitted again have higher numbers than its earlier ones.
  std::uint32_t last_start = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_DISPATCHER_H_
