#include "tests/support/simulation_oracle.h"

#include <algorithm>
#include <vector>

#include "tests/support/simulated_workload.h"

namespace dandelionspur {
namespace {

std::string Describe(const JobAnswer& answer) {
  return std::string(VerdictName(answer.verdict)) + " " +
         std::string(ReasonName(answer.reason));
}

}  // namespace

void SimulationOracle::Fail(const std::string& what) {
  if (this->first_violation) return;
  this->first_violation = what;
  this->log.Append("VIOLATION: " + what);
}

bool SimulationOracle::HasPendingRequest(NodeId entry) const {
  if (this->cancellations.HasPendingRequest(entry)) return true;
  return std::any_of(this->submissions.begin(), this->submissions.end(),
                     [&](const auto& item) {
                       return item.second.entry == entry &&
                              !item.second.answered;
                     });
}

std::optional<Reason> SimulationOracle::AnswerTo(RequestId request) const {
  const Submission& submission = this->submissions.at(request);
  return submission.answered ? std::optional(submission.reason) : std::nullopt;
}

RequestId SimulationOracle::RecordSubmission(NodeId entry, const JobKey& key) {
  const RequestId request(++this->last_request);
  this->submissions[request] = {entry, key, false, false, {}};
  return request;
}

void SimulationOracle::RecordStart(const RunOnUpstream& run,
                                   const StartConditions& conditions) {
  ++this->start_count;
  if (conditions.still_runs) this->Fail("a task runs twice at the same time");
  if (++this->starts_of_task[run.task] > 1 && !this->options.HasLeases()) {
    this->Fail(ShortName(run.task) + " started twice");
  }
  this->first_starts.emplace(run.task.key, RequestId(this->last_request));
  if (conditions.upstream_full) this->Fail("a full upstream is sent a task");
  if (conditions.agent_leaves) this->Fail("a leaving agent starts");
  if (!(run.body == BodyOf(run.task))) this->Fail("a task has a wrong body");
  if (!this->IsWanted(run.task.key)) this->Fail("a refused submission starts");
  if (conditions.is_late) return;
  const std::optional<std::string> cancelled =
      this->cancellations.OnStart(run.task.key);
  if (cancelled) this->Fail(*cancelled);
}

void SimulationOracle::RecordCancelAnswer(const CancelAnswered& answer,
                                          std::size_t members) {
  this->log.Append(std::string("the cancelling of ") + ShortName(answer.key) +
                   (answer.outcome == CancelOutcome::kHolds
                        ? " holds"
                        : " is not confirmed"));
  const std::optional<std::string> violation =
      this->cancellations.OnAnswered(answer, members);
  if (violation) this->Fail(*violation);
}

bool SimulationOracle::IsWanted(const JobKey& key) const {
  return std::any_of(this->submissions.begin(), this->submissions.end(),
                     [&](const auto& item) {
                       return item.second.key == key && !item.second.refused;
                     });
}

void SimulationOracle::RecordUpstreamLoss(NodeId agent,
                                          const std::vector<TaskId>& running) {
  std::string names;
  for (const TaskId& task : running) names += " " + ShortName(task);
  this->log.Append("the upstream of agent " + std::to_string(agent) +
                   " is lost under" + names);
  const std::optional<std::string> violation =
      this->upstream_losses.OnUpstreamLost(running);
  if (violation) this->Fail(*violation);
}

void SimulationOracle::RecordAnswer(const AnswerCaller& answer) {
  Submission& submission = this->submissions.at(answer.request);
  if (submission.answered) this->Fail("a request is answered twice");
  submission.answered = true;
  submission.reason = answer.answer.reason;
  ++this->answer_count;
  this->log.Append("request " + std::to_string(answer.request.value()) +
                   " for " + ShortName(answer.key) + " at entry " +
                   std::to_string(submission.entry) + ": " +
                   Describe(answer.answer));
  if (answer.answer.verdict == Verdict::kNotRun) {
    this->RecordRefusal(submission);
  }
  if (answer.answer.reason == Reason::kTaskCrashesUpstreams) {
    const std::optional<std::string> violation =
        this->upstream_losses.OnGivenUp(submission.key);
    if (violation) this->Fail(*violation);
  }
  if (answer.answer.reason != Reason::kComplete) return;
  ++this->complete_count;
  this->CheckResults(submission.key, answer.answer);
}

void SimulationOracle::RecordRefusal(Submission& submission) {
  submission.refused = true;
  ++this->refusal_count;
  this->CheckStartsAreAccountedFor(submission.key);
  // RecordRelayAnswer has checked a refusal that the home decided. By the time
  // it reaches the caller, the home may have started the job for a submission
  // accepted later.
  const bool decided_elsewhere =
      this->decided_refusals.contains({submission.entry, submission.key});
  if (decided_elsewhere) return;
  this->CheckNeverStarted(submission.entry, submission.key);
}

void SimulationOracle::CheckStartsAreAccountedFor(const JobKey& key) {
  const auto first_start = this->first_starts.find(key);
  if (first_start == this->first_starts.end()) return;
  const bool is_accounted_for =
      std::any_of(this->submissions.begin(), this->submissions.end(),
                  [&](const auto& item) {
                    return item.second.key == key && !item.second.refused &&
                           item.first <= first_start->second;
                  });
  if (is_accounted_for) return;
  this->Fail("a job that was started has all its submissions refused");
}

void SimulationOracle::CheckResults(const JobKey& key,
                                    const JobAnswer& answer) {
  const std::vector<Payload>& results = answer.results;
  if (results.size() != this->options.tasks_per_job) {
    this->Fail("a complete answer lacks results");
    return;
  }
  for (std::uint32_t i = 0; i < results.size(); ++i) {
    if (!(results[i] == ResultOf({key, TaskIndex(i)}))) {
      this->Fail("an answer has another task's result");
    }
  }
}

void SimulationOracle::RecordRelayAnswer(NodeId from, const SendToPeer& sent) {
  const auto* answer = std::get_if<RelayAnswer>(&sent.message);
  if (answer == nullptr) return;
  this->log.Append("entry " + std::to_string(from) + " answers entry " +
                   std::to_string(sent.to.value()) + " for " +
                   ShortName(answer->key) + ": " + Describe(answer->answer));
  if (answer->answer.verdict != Verdict::kNotRun) return;
  this->CheckNeverStarted(from, answer->key);
  this->decided_refusals.emplace(sent.to.value(), answer->key);
}

void SimulationOracle::RecordConfirmation(NodeId home,
                                          const ConfirmReply& reply) {
  StartedJobs& confirmed = this->started_at_confirmation[home];
  // Of the two replies with the same sequence number, the first one counts.
  if (reply.sequence <= confirmed.sequence) return;
  confirmed = {reply.sequence, {}};
  for (const auto& [task, count] : this->starts_of_task) {
    if (count > 0) confirmed.started.insert(task.key);
  }
}

void SimulationOracle::CheckNeverStarted(NodeId home, const JobKey& key) {
  // With leases, the refusal covers only this submission; an earlier one of the
  // same key may have run. RecordStart detects starts after the refusal.
  if (this->options.HasLeases()) return;
  const auto confirmed = this->started_at_confirmation.find(home);
  const bool started_since = confirmed != this->started_at_confirmation.end() &&
                             !confirmed->second.started.contains(key);
  if (started_since) return;
  for (const auto& [task, count] : this->starts_of_task) {
    if (task.key == key && count > 0) {
      this->Fail("a job that was started is refused as not run");
    }
  }
}

}  // namespace dandelionspur
