#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_ENTRY_DECISION_LOG_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_ENTRY_DECISION_LOG_H_

#include <variant>
#include <vector>

#include "libraries/decision_log/log_events.h"
#include "libraries/decision_log/trails.h"
#include "libraries/entry_core/entry_core.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

using JobStep =
    std::variant<RequestReceived, RelaySent, RelayReceived, RelayReturned,
                 RefusalDecided, TaskStartSent, TaskStartRefused, TaskEnded,
                 TaskRetried, TaskAskedFor, TaskToldOf, TaskStopSent,
                 CancelReceived, JobAnswered>;

// Writes the log lines of an entry from the steps of its core. A job that
// fails, is refused, is late or had to be retried is told of with all its
// steps; of the others, a few are followed. Measures the stages of a job as
// well. Runs on the core's thread.
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
  // One step of the core, which has handled `event` already.
  void Observe(const EntryEvent& event, const std::vector<EntryEffect>& effects,
               Timestamp now);

 private:
  using JobTrails = Trails<JobKey, JobStep>;

  // What has come in.
  void See(const CallerSubmitted& event);
  void See(const CallerCancelled& event);
  void See(const PeerConnected& event);
  void See(const PeerDisconnected& event);
  void See(const PeerLinkRenewed& event);
  void See(const PeerProvenDead& event);
  void See(const PeerMessageReceived& event);
  void See(const AgentConnected& event);
  void See(const AgentDisconnected& event);
  void See(const AgentMessageReceived& event);
  template <typename Other>
  void See(const Other& /*event*/) {}

  void SeePeer(EntryId from, const Relay& message);
  void SeePeer(EntryId from, const RelayMoved& message);
  template <typename Other>
  void SeePeer(EntryId /*from*/, const Other& /*message*/) {}

  void SeeAgent(AgentId from, const TaskFinished& message);
  void SeeAgent(AgentId from, const TaskNotRun& message);
  void SeeAgent(AgentId from, const RenounceReply& message);
  void SeeAgent(AgentId from, const AgentLeaving& message);
  template <typename Other>
  void SeeAgent(AgentId /*from*/, const Other& /*message*/) {}

  // What the core has decided.
  void Tell(const AnswerCaller& effect);
  void Tell(const SendToPeer& effect);
  void Tell(const SendToAgent& effect);
  void Tell(const JobRefused& effect);
  void Tell(const RetryCounted& effect);
  void Tell(const AgentLost& effect);
  template <typename Other>
  void Tell(const Other& /*effect*/) {}

  void TellStart(const Start& start);
  void MeasureStages(const JobTrails::Trail& trail, const JobAnswer& answer);
  // The job's last step here: writes its lines, or drops them.
  void End(const JobKey& key, EntryId to, const JobAnswer& answer);
  // Adds a step to the trail of a job, if there is one; `make` gets its id.
  template <typename Maker>
  void AddStep(const JobKey& key, Maker&& make) {
    JobTrails::Trail* trail = this->trails.Find(key);
    if (trail == nullptr) return;
    JobTrails::Add(*trail, make(trail->job), this->now);
  }
  [[nodiscard]] Duration UnheardFor(AgentId agent) const;

  const EntryCore& core;
  // From the submission to the first start.
  prometheus::Histogram& queue_times;
  // From the first start to the answer.
  prometheus::Histogram& run_times;
  // From the submission to a refusal.
  prometheus::Histogram& refusal_times;
  std::uint32_t followed_per_thousand = 0;
  JobTrails trails;
  // Of the step that is being observed.
  Timestamp now;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_ENTRY_DECISION_LOG_H_
