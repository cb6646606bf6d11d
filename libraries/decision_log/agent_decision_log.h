#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_AGENT_DECISION_LOG_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_AGENT_DECISION_LOG_H_

#include <variant>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/decision_log/trails.h"

namespace dandelionspur {

using TaskStep = std::variant<StartReceived, TaskOrdered, TaskStopOrdered,
                              UpstreamEndLine, StartRefusedLine>;

// Writes the log lines of an agent from the steps of its core, in the manner
// of EntryDecisionLog. Runs on the core's thread.
class AgentDecisionLog {
 public:
  explicit AgentDecisionLog(const AgentCore& observed) : core(observed) {}

  void Follow(std::uint32_t jobs_per_thousand) {
    this->followed_per_thousand = jobs_per_thousand;
  }
  // One step of the core, which has handled `event` already.
  void Observe(const AgentEvent& event, const std::vector<AgentEffect>& effects,
               Timestamp now);

 private:
  using TaskTrails = Trails<TaskId, TaskStep, TaskIdHash>;

  // What has come in.
  void See(const EntryConnected& event);
  void See(const EntryDisconnected& event);
  void See(const EntryMessageReceived& event);
  void See(const UpstreamTaskCompleted& event);
  void See(const UpstreamAnnounced& event);
  void See(const UpstreamLeaving& event);
  void See(const UpstreamContactChanged& event);
  template <typename Other>
  void See(const Other& /*event*/) {}

  // What the core has decided.
  void Tell(const RunOnUpstream& effect);
  void Tell(const StopOnUpstream& effect);
  void Tell(const SendToEntry& effect);
  void Tell(const ConnectToMembers& effect);
  void Tell(const RenewalChanged& effect);
  template <typename Other>
  void Tell(const Other& /*effect*/) {}

  // The task's last step here: writes its lines, or drops them.
  void End(const TaskId& task, LogCategory log_category);

  const AgentCore& core;
  std::uint32_t followed_per_thousand = 0;
  TaskTrails trails;
  // Of the step that is being observed.
  Timestamp now;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_AGENT_DECISION_LOG_H_
