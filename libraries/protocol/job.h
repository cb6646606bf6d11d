#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_JOB_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_JOB_H_

#include <algorithm>
#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/ballot.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/job_key.h"
#include "libraries/base/payload.h"
#include "libraries/base/resources.h"
#include "libraries/base/time.h"
#include "libraries/base/verdict.h"
#include "libraries/protocol/not_run_proof.h"

namespace dandelionspur {

inline constexpr std::size_t kMaximumTasksPerJob = 860;
inline constexpr std::size_t kMaximumTaskBodyBytes = 1U * 1024U * 1024U;

struct TaskRequest {
  Payload body;
  // The run time that the caller declared; often far off.
  Duration declared{};
  Resources need = kOneSlot;

  // The declared run time multiplied by the number of cores that the task
  // needs.
  [[nodiscard]] Duration CoreTime() const {
    return this->declared * static_cast<std::int64_t>(this->need.millicores) /
           static_cast<std::int64_t>(kMillicoresPerCore);
  }
};
BOOST_DESCRIBE_STRUCT(TaskRequest, (), (body, declared, need))

// Whether a task that may have run may be started again.
// kAfterLease: once the lease of every earlier run has expired.
BOOST_DEFINE_ENUM_CLASS(RerunPolicy, kNever, kAfterLease)

// Whether a submission may start the job (kRun), or only waits for the answer
// of a job that was submitted before (kJoin).
BOOST_DEFINE_ENUM_CLASS(SubmissionKind, kRun, kJoin)

// Approximate size of a relay or a start without bodies, in bytes.
inline constexpr std::size_t kJobMessageHeaderBytes = 150;

struct JobSubmission {
  static constexpr std::size_t kRequiredMembers = 12;
  SubmissionKind kind = SubmissionKind::kRun;
  JobKey key;
  // The creation time in the key; set for keys that have one (UUIDv7).
  std::optional<Timestamp> created;
  ServiceName service;
  ClientAccount client_account;
  // Time left until the deadline when the message with this submission was
  // sent. A duration, so that clocks need not agree.
  Duration time_allowed{};
  // The latency objective of the answer; 0 if there is none.
  Duration objective{};
  // Digest of the whole request body. A key stands for one body only.
  std::uint64_t body_digest = 0;
  // The key as the caller wrote it.
  std::string name;
  RerunPolicy rerun = RerunPolicy::kNever;
  // The number of failed runs of one task after which the job fails.
  std::uint32_t maximum_attempts = 1;
  std::vector<TaskRequest> tasks;
  // If set, the body of every task, whose own body is then empty: the form in
  // which a job with equal bodies travels between entries.
  std::optional<Payload> shared_body;
  JobGroupId group;
  // 0 is the highest; of jobs that compete for room, higher ones are preferred.
  std::uint32_t priority = 0;
  // How long the caller had waited by then; 0 from versions that don't tell.
  Duration waited{};

  // Sum of the declared core times of all tasks.
  [[nodiscard]] Duration CoreTime() const {
    Duration total{};
    for (const TaskRequest& task : this->tasks) total += task.CoreTime();
    return total;
  }
  // Sets `shared_body` if the tasks have equal bodies.
  void ShareBody() {
    if (this->tasks.empty()) return;
    const Payload body = this->tasks.front().body;
    const bool equal =
        std::all_of(this->tasks.begin(), this->tasks.end(),
                    [&](const TaskRequest& task) { return task.body == body; });
    if (!equal) return;
    for (TaskRequest& task : this->tasks) task.body = Payload();
    this->shared_body = body;
  }
  // Gives each task its own body again.
  void UnshareBody() {
    if (!this->shared_body) return;
    for (TaskRequest& task : this->tasks) task.body = *this->shared_body;
    this->shared_body.reset();
  }
  // The memory that the submission takes, approximately. A body that successive
  // tasks share counts once.
  [[nodiscard]] std::uint64_t HeldBytes() const {
    std::uint64_t bytes = sizeof(JobSubmission) + this->name.size() +
                          this->tasks.size() * sizeof(TaskRequest);
    if (this->shared_body) bytes += this->shared_body->size();
    const Payload* previous = nullptr;
    for (const TaskRequest& task : this->tasks) {
      const bool is_shared = previous != nullptr && task.body == *previous;
      if (!is_shared) bytes += task.body.size();
      previous = &task.body;
    }
    return bytes;
  }
  // Accounts for time in which the submission was held or on its way.
  void SetTimeLeft(Duration left) {
    const Duration spent = this->time_allowed - left;
    this->waited += std::max(spent, Duration());
    this->time_allowed = std::max(left, Duration());
  }
  // The time left in which an answer is of use to the caller: three times the
  // latency objective since the caller has submitted the job, at most the time
  // allowed. Negative if an answer comes too late.
  [[nodiscard]] Duration UsefulTime() const {
    constexpr std::int64_t kUsefulObjectives = 3;
    return this->objective > Duration()
               ? std::min(this->time_allowed,
                          kUsefulObjectives * this->objective - this->waited)
               : this->time_allowed;
  }
  // How much of that time is left if the longest task runs as long as declared.
  // Negative if it is too short for the task.
  [[nodiscard]] Duration Slack() const {
    Duration longest{};
    for (const TaskRequest& task : this->tasks) {
      longest = std::max(longest, task.declared);
    }
    return this->UsefulTime() - longest;
  }
  // Whether this submission may share the answer of a submission with the same
  // key and the body digest `other_digest`.
  [[nodiscard]] bool Matches(std::uint64_t other_digest) const {
    return this->kind == SubmissionKind::kJoin ||
           this->body_digest == other_digest;
  }
};
BOOST_DESCRIBE_STRUCT(JobSubmission, (),
                      (kind, key, created, service, client_account,
                       time_allowed, objective, body_digest, name, rerun,
                       maximum_attempts, tasks, shared_body, group, priority,
                       waited))

// The answer to a submission. Only holders of a NotRunProof can answer that the
// job has not run.
struct JobAnswer {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kHomeUnreachable;
  // The result of each task, in order, if `reason` is `kComplete`; otherwise
  // empty.
  std::vector<Payload> results;
  // When the caller should submit the job again at the earliest.
  Duration retry_after{};

  static JobAnswer Complete(std::vector<Payload> results) {
    return JobAnswer{Verdict::kRan, Reason::kComplete, std::move(results), {}};
  }
  static JobAnswer Ran(Reason reason) {
    return JobAnswer{Verdict::kRan, reason, {}, {}};
  }
  // `retry_after`: zero if it is not known when the job can be served.
  static JobAnswer MayHaveRun(Reason reason,
                              Duration retry_after = Duration()) {
    return JobAnswer{Verdict::kMayHaveRun, reason, {}, retry_after};
  }
  static JobAnswer NotRun(Reason reason, const NotRunProof& /*proof*/,
                          Duration retry_after) {
    return JobAnswer{Verdict::kNotRun, reason, {}, retry_after};
  }
};
BOOST_DESCRIBE_STRUCT(JobAnswer, (), (verdict, reason, results, retry_after))

// The outcome of a run of a task on the upstream.
BOOST_DEFINE_ENUM_CLASS(TaskOutcome, kSucceeded, kFailed, kUnknown)

// Why placement selected the agent of a task. kKeptApart: among those where no
// group runs that it would slow down or be slowed down by, while others had
// room as well.
BOOST_DEFINE_ENUM_CLASS(PlacementReason, kOnlyCandidate, kFastestFree,
                        kRetryElsewhere, kProbation, kSoonestEnd, kKeptApart)

// The part of the service's upstreams among which placement selected the agent
// of a task: all of them, those that no quarantined group runs at, or those of
// the task's own group, which is quarantined.
BOOST_DEFINE_ENUM_CLASS(PlacementScope, kOrdinary, kOutsideQuarantines,
                        kInQuarantine)

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_JOB_H_
