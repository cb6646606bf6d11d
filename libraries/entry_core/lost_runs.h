#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOST_RUNS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOST_RUNS_H_

#include <cstddef>

#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/home_context.h"
#include "libraries/entry_core/job_finisher.h"
#include "libraries/entry_core/task_requeuer.h"

namespace dandelionspur {

// Whether runs started by a lost agent may still continue at its upstream, or
// begin there.
enum class AgentRuns { kMayContinue, kEnded };

// What becomes of tasks that were started at agents that are lost or can't be
// reached: they run again once nothing of the earlier start can run any more.
class LostRuns {
 public:
  LostRuns(const EntryCoreSettings& configured, const HomeContext& shared,
           JobFinisher& job_finisher, TaskRequeuer& task_requeuer)
      : settings(configured),
        context(shared),
        finisher(job_finisher),
        requeuer(task_requeuer) {}

  // Queues the agent's tasks again if their runs have ended, and answers the
  // callers that can't wait until they have.
  void OnAgentLost(AgentId agent, AgentRuns runs, Timestamp now);
  // Queues the rerunnable tasks again whose runs must have ended because their
  // agent was lost, suspended or disconnected.
  void RequeueEnded(Timestamp now);
  // Answers the callers of a job that may run again at once if lost or
  // unreachable agents may still run its tasks, or begin to, for longer than
  // the callers can wait. Returns whether it did.
  bool RefuseIfUnsettled(HomeJob& job, Timestamp now);
  // Number of tasks sent to the agent whose starts aren't confirmed.
  [[nodiscard]] std::size_t UnconfirmedAt(AgentId agent);

 private:
  // How long lost or unreachable agents may still run tasks that this home has
  // started for the job, or begin to.
  [[nodiscard]] Duration UnsettledFor(const HomeJob& job, Timestamp now) const;

  EntryCoreSettings settings;
  HomeContext context;
  JobFinisher& finisher;
  TaskRequeuer& requeuer;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOST_RUNS_H_
