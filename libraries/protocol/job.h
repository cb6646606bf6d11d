#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_JOB_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_JOB_H_

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

struct TaskRequest {
  Payload body;
  // What the caller believes the task takes; often far off.
  Duration declared{};
  Resources need = kOneSlot;

  // Declared time multiplied by the cores that the task takes.
  [[nodiscard]] Duration CoreTime() const {
    return this->declared * static_cast<std::int64_t>(this->need.millicores) /
           static_cast<std::int64_t>(kMillicoresPerCore);
  }
};
BOOST_DESCRIBE_STRUCT(TaskRequest, (), (body, declared, need))

// Whether a task that may have run may be started again.
// kAfterLease: once no earlier run of it can still be going on.
BOOST_DEFINE_ENUM_CLASS(RerunPolicy, kNever, kAfterLease)

// Whether a submission may start the job, or only waits for the answer of one
// that was submitted before.
BOOST_DEFINE_ENUM_CLASS(SubmissionKind, kRun, kJoin)

struct JobSubmission {
  SubmissionKind kind = SubmissionKind::kRun;
  JobKey key;
  // Set for a key that carries its age (UUIDv7).
  std::optional<Timestamp> created;
  ServiceName service;
  ClientAccount client_account;
  // Time left until the deadline, as of the sending of the message that
  // carries this; a duration, so that clocks need not agree.
  Duration time_allowed{};
  // The answer is worth most within this time; 0 where nothing is known.
  Duration objective{};
  // Digest of the whole request body: one key names one body.
  std::uint64_t body_digest = 0;
  // The key as the caller wrote it.
  std::string name;
  RerunPolicy rerun = RerunPolicy::kNever;
  // Runs of one task that may end as failed before the job fails.
  std::uint32_t maximum_attempts = 1;
  std::vector<TaskRequest> tasks;

  // Whether this and `other` may share one answer: a key names one body.
  [[nodiscard]] bool Matches(std::uint64_t other_digest) const {
    return this->kind == SubmissionKind::kJoin ||
           this->body_digest == other_digest;
  }
};
BOOST_DESCRIBE_STRUCT(JobSubmission, (),
                      (kind, key, created, service, client_account,
                       time_allowed, objective, body_digest, name, rerun,
                       maximum_attempts, tasks))

// What a caller is told about a job. "Not run" can only be said by those who
// hold a proof of it.
struct JobAnswer {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kHomeUnreachable;
  // One for each task, in order, if complete; otherwise empty.
  std::vector<Payload> results;
  Duration retry_after{};

  static JobAnswer Complete(std::vector<Payload> results) {
    return JobAnswer{Verdict::kRan, Reason::kComplete, std::move(results), {}};
  }
  static JobAnswer Ran(Reason reason) {
    return JobAnswer{Verdict::kRan, reason, {}, {}};
  }
  static JobAnswer MayHaveRun(Reason reason) {
    return JobAnswer{Verdict::kMayHaveRun, reason, {}, {}};
  }
  static JobAnswer NotRun(Reason reason, const NotRunProof& /*proof*/,
                          Duration retry_after) {
    return JobAnswer{Verdict::kNotRun, reason, {}, retry_after};
  }
};
BOOST_DESCRIBE_STRUCT(JobAnswer, (), (verdict, reason, results, retry_after))

// How the upstream ended a task.
BOOST_DEFINE_ENUM_CLASS(TaskOutcome, kSucceeded, kFailed, kUnknown)

// Why a task went to the agent that it went to.
BOOST_DEFINE_ENUM_CLASS(PlacementReason, kOnlyCandidate, kFastestFree,
                        kRetryElsewhere, kProbation)

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_JOB_H_
