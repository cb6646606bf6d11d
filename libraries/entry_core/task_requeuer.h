#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_REQUEUER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_REQUEUER_H_

#include "libraries/entry_core/home_context.h"
#include "libraries/entry_core/job_finisher.h"

namespace dandelionspur {

// Queues tasks again that have not run or may run again.
class TaskRequeuer {
 public:
  TaskRequeuer(const HomeContext& shared, JobFinisher& job_finisher)
      : context(shared), finisher(job_finisher) {}

  // Whether a task may be started again after a run with this outcome.
  [[nodiscard]] static bool MayRunAgain(const HomeJob& job,
                                        const TaskRecord& task,
                                        TaskOutcome outcome);
  // Queues a task again after its start was proven "not run", or after its run
  // if the task may run again; first queries the other agents that have
  // reported a run of it. Draws on the retry budget unless the agent had no
  // free slot.
  void Requeue(HomeJob& job, TaskIndex index, Reason reason, Timestamp now);
  // Asks the agent of the run for its state.
  void Query(HomeJob& job, const ReportedTask& run);

 private:
  HomeContext context;
  JobFinisher& finisher;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_TASK_REQUEUER_H_
