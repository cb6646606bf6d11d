#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_ORACLE_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_ORACLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"
#include "tests/support/cancellation_check.h"
#include "tests/support/simulated_network.h"
#include "tests/support/simulation_log.h"
#include "tests/support/simulation_options.h"
#include "tests/support/upstream_loss_check.h"

namespace dandelionspur {

// Observes a simulation and checks the guarantees of the protocol, such as that
// a job reported as not run has not been started. Counts starts and answers.
class SimulationOracle {
 public:
  SimulationOracle(const SimulationOptions& configured,
                   SimulationLog& simulation_log)
      : options(configured), log(simulation_log) {}

  // The first violation of a guarantee, if there was any.
  [[nodiscard]] const std::optional<std::string>& violation() const {
    return this->first_violation;
  }
  // Reports a violation.
  void Fail(const std::string& what);

  [[nodiscard]] std::uint32_t starts() const { return this->start_count; }
  [[nodiscard]] std::uint32_t answers() const { return this->answer_count; }
  [[nodiscard]] std::uint32_t refusals() const { return this->refusal_count; }
  [[nodiscard]] std::uint32_t complete_answers() const {
    return this->complete_count;
  }
  [[nodiscard]] std::uint64_t requests() const { return this->last_request; }
  // Whether a request at the entry has no answer yet.
  [[nodiscard]] bool HasPendingRequest(NodeId entry) const;
  // The reason that the answer to the request gives, once it has an answer.
  [[nodiscard]] std::optional<Reason> AnswerTo(RequestId request) const;

  // Returns the id of the request.
  RequestId RecordSubmission(NodeId entry, const JobKey& key);
  // Counts a start that does not reach its upstream.
  void RecordUnreachableStart() { ++this->start_count; }
  struct StartConditions {
    // Whether an earlier start of the task still runs.
    bool still_runs = false;
    // Whether the agent has been asked to leave.
    bool agent_leaves = false;
    // Whether the tasks that run there need all of the upstream's capacity.
    bool upstream_full = false;
    // The upstream carries the order out late, perhaps after the job was
    // cancelled.
    bool is_late = false;
  };
  void RecordStart(const RunOnUpstream& run, const StartConditions& conditions);
  // Records that the agent's upstream was lost while it ran these tasks.
  void RecordUpstreamLoss(NodeId agent, const std::vector<TaskId>& running);
  void RecordEntryLoss() {
    this->upstream_losses.OnEntryLost();
    this->cancellations.OnEntryLost();
  }
  // Returns the id of the request to cancel a job.
  RequestId RecordCancelling(NodeId entry) {
    return this->cancellations.OnRequested(entry);
  }
  // `members` is the size of the view of the entry that answers.
  void RecordCancelAnswer(const CancelAnswered& answer, std::size_t members);
  // From now on no job starts whose cancelling was acknowledged.
  void SettleCancellations() { this->cancellations.Settle(); }
  // The jobs that may not start any more from then on.
  [[nodiscard]] std::vector<JobKey> HeldCancellations() const {
    return this->cancellations.Held();
  }
  void RecordAnswer(const AnswerCaller& answer);
  // Logs the answer to a relay if `sent` is one. Checks that a job refused as
  // not run has not been started, and records the refusal.
  void RecordRelayAnswer(NodeId from, const SendToPeer& sent);
  // Records the jobs that have been started when a process confirms the ballots
  // of `home`.
  void RecordConfirmation(NodeId home, const ConfirmReply& reply);

 private:
  struct Submission {
    NodeId entry = 0;
    JobKey key;
    bool answered = false;
    bool refused = false;
    Reason reason{};
  };
  struct StartedJobs {
    std::uint64_t sequence = 0;
    std::set<JobKey> started;
  };

  // Reports a violation if `home` refuses a job as not run that had been
  // started when the ballots of `home` were last confirmed. Between the
  // confirmation and the refusal, another home may have started the job for
  // another submission of its key.
  void CheckNeverStarted(NodeId home, const JobKey& key);
  void RecordRefusal(Submission& submission);
  // Reports a violation if the job was started although each submission that
  // preceded its first start is refused as not run. Jobs that may run again may
  // be started for one submission and truthfully refused for a later one.
  void CheckStartsAreAccountedFor(const JobKey& key);
  // Checks the results of a complete answer.
  void CheckResults(const JobKey& key, const JobAnswer& answer);
  // Whether a submission of the key has not been refused.
  [[nodiscard]] bool IsWanted(const JobKey& key) const;

  const SimulationOptions& options;
  SimulationLog& log;
  std::map<RequestId, Submission> submissions;
  std::map<TaskId, std::uint32_t> starts_of_task;
  UpstreamLossCheck upstream_losses;
  CancellationCheck cancellations;
  // The latest submission of any job at the first start of each job.
  std::map<JobKey, RequestId> first_starts;
  std::map<NodeId, StartedJobs> started_at_confirmation;
  // The relaying entries that have been sent a refusal as not run, each with
  // the key of the job.
  std::set<std::pair<NodeId, JobKey>> decided_refusals;
  std::uint64_t last_request = 0;
  std::uint32_t start_count = 0;
  std::uint32_t answer_count = 0;
  std::uint32_t refusal_count = 0;
  std::uint32_t complete_count = 0;
  std::optional<std::string> first_violation;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATION_ORACLE_H_
