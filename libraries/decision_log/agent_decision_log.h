#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_AGENT_DECISION_LOG_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_AGENT_DECISION_LOG_H_

#include <variant>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/decision_log/step_traces.h"

namespace dandelionspur {

using TaskStep = std::variant<StartReceived, TaskOrdered, TaskStopOrdered,
                              UpstreamEndLine, StartRefusedLine>;

// Writes the log lines of an agent from the steps of its core. All steps of a
// failed run or refused start are logged, and those of a configured share of
// the other tasks. Runs on the core's thread.
class AgentDecisionLog {
 public:
  explicit AgentDecisionLog(const AgentCore& observed) : core(observed) {}

  void Follow(std::uint32_t jobs_per_thousand) {
    this->followed_per_thousand = jobs_per_thousand;
  }
  // Records one step of the core, which has handled `event` already. Must be
  // called before the core's next step.
  void Observe(const AgentEvent& event, const std::vector<AgentEffect>& effects,
               Timestamp now);

 private:
  using TaskTraces = StepTraces<TaskId, TaskStep, TaskIdHash>;

  // Record the steps that an event or message contributes.
  void OnEvent(const EntryConnected& event);
  void OnEvent(const EntryDisconnected& event);
  void OnEvent(const EntryMessageReceived& event);
  void OnEvent(const UpstreamTaskCompleted& event);
  void OnEvent(const UpstreamAnnounced& event);
  void OnEvent(const UpstreamLeaving& event);
  void OnEvent(const UpstreamContactChanged& event);
  void OnEvent(const UpstreamLost& event);
  void OnEvent(const UpstreamContactBroken& event);
  template <typename Other>
  void OnEvent(const Other& /*event*/) {}

  // Record the steps that an effect contributes.
  void OnEffect(const RunOnUpstream& effect);
  void OnEffect(const StopOnUpstream& effect);
  void OnEffect(const SendToEntry& effect);
  void OnEffect(const ConnectToMembers& effect);
  void OnEffect(const RenewalChanged& effect);
  void OnEffect(const OwnEvacuationChanged& effect);
  template <typename Other>
  void OnEffect(const Other& /*effect*/) {}

  // The name of a task as its caller wrote it, "job.task"; the job's digest if
  // the name is not known.
  [[nodiscard]] std::string NameOf(const TaskId& task);
  // The names of at most kMaximumNamedTasks of the tasks.
  template <typename TaskRange>
  [[nodiscard]] std::string NamesOf(const TaskRange& tasks);
  // Ends the task's trace: writes its lines or discards them.
  void Finish(const TaskId& task, LogCategory log_category);

  const AgentCore& core;
  std::uint32_t followed_per_thousand = 0;
  TaskTraces traces;
  // The time of the step that is being recorded.
  Timestamp now;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_AGENT_DECISION_LOG_H_
