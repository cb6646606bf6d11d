#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_ENTRY_DECISION_LOG_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_ENTRY_DECISION_LOG_H_

#include <variant>
#include <vector>

#include "libraries/decision_log/log_events.h"
#include "libraries/decision_log/step_traces.h"
#include "libraries/entry_core/entry_core.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

using JobStep =
    std::variant<RequestReceived, RelaySent, RelayReceived, RelayReturned,
                 RefusalDecided, TaskStartSent, TaskStartRefused, TaskEnded,
                 TaskRetried, TaskStateRequested, TaskStateReceived,
                 TaskStopSent, CancelReceived, CancelSettled, JobAnswered>;

// Writes the log lines of an entry from the steps of its core. All steps of a
// job that fails, is refused, is late, has been retried or was taken over from
// a former home are logged, and those of a configured share of the other jobs.
// Also measures the duration of each job's stages. Runs on the core's thread.
class EntryDecisionLog {
 public:
  EntryDecisionLog(const EntryCore& observed, Metrics& metrics)
      : core(observed),
        queue_times(metrics.HistogramFor("stage_seconds", "stage", "queue")),
        run_times(metrics.HistogramFor("stage_seconds", "stage", "run")),
        refusal_times(
            metrics.HistogramFor("stage_seconds", "stage", "refusal")) {}

  void Follow(std::uint32_t jobs_per_thousand) {
    this->followed_per_thousand = jobs_per_thousand;
  }
  // Records one step of the core, which has handled `event` already. Must be
  // called before the core's next step.
  void Observe(const EntryEvent& event, const std::vector<EntryEffect>& effects,
               Timestamp now);

 private:
  using JobTraces = StepTraces<JobKey, JobStep>;

  // Record the steps that an event or message contributes.
  void OnEvent(const CallerSubmitted& event);
  void OnEvent(const CallerCancelled& event);
  void OnEvent(const PeerConnected& event);
  void OnEvent(const PeerDisconnected& event);
  void OnEvent(const PeerLinkRenewed& event);
  void OnEvent(const PeerProvenDead& event);
  void OnEvent(const PeerRefusesConnections& event);
  void OnEvent(const AgentRefusesConnections& event);
  void OnEvent(const PeerMessageReceived& event);
  void OnEvent(const AgentConnected& event);
  void OnEvent(const AgentDisconnected& event);
  void OnEvent(const AgentMessageReceived& event);
  template <typename Other>
  void OnEvent(const Other& /*event*/) {}

  void OnPeerMessage(EntryId from, const Relay& message);
  void OnPeerMessage(EntryId from, const RelayMoved& message);
  template <typename Other>
  void OnPeerMessage(EntryId /*from*/, const Other& /*message*/) {}

  void OnAgentMessage(AgentId from, const TaskFinished& message);
  void OnAgentMessage(AgentId from, const TaskNotRun& message);
  void OnAgentMessage(AgentId from, const RenounceReply& message);
  void OnAgentMessage(AgentId from, const AgentLeaving& message);
  template <typename Other>
  void OnAgentMessage(AgentId /*from*/, const Other& /*message*/) {}

  // Record the steps that an effect contributes.
  void OnEffect(const AnswerCaller& effect);
  void OnEffect(const CancelAnswered& effect);
  void OnEffect(const SendToPeer& effect);
  void OnEffect(const SendToAgent& effect);
  void OnEffect(const JobRefused& effect);
  void OnEffect(const RetryCounted& effect);
  void OnEffect(const AgentLost& effect);
  template <typename Other>
  void OnEffect(const Other& /*effect*/) {}

  void AddStartStep(const Start& start);
  void MeasureStages(const JobTraces::Trace& trace, const JobAnswer& answer);
  // Ends the job's trace: writes its lines or discards them.
  void Finish(const JobKey& key, EntryId to, const JobAnswer& answer);
  // Adds the step `make(job)` to the trace of a job, if there is one; `job` is
  // the job's id as its caller wrote it.
  template <typename Maker>
  void AddStep(const JobKey& key, Maker&& make) {
    JobTraces::Trace* trace = this->traces.Find(key);
    if (trace == nullptr) return;
    JobTraces::Add(*trace, make(trace->job), this->now);
  }
  // Time since the last message from the agent; 0 if the agent is unknown.
  [[nodiscard]] Duration UnheardFor(AgentId agent) const;

  const EntryCore& core;
  // Seconds from the submission to the first start.
  prometheus::Histogram& queue_times;
  // Seconds from the first start to the answer.
  prometheus::Histogram& run_times;
  // Seconds from the submission to a refusal.
  prometheus::Histogram& refusal_times;
  std::uint32_t followed_per_thousand = 0;
  JobTraces traces;
  // The time of the step that is being recorded.
  Timestamp now;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_ENTRY_DECISION_LOG_H_
