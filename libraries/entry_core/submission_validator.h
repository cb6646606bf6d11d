#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SUBMISSION_VALIDATOR_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SUBMISSION_VALIDATOR_H_

#include <string>
#include <string_view>
#include <variant>

#include "libraries/configuration/service_document.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

// A caller's request before validation.
struct RawSubmission {
  ServiceName service;
  // The Idempotency-Key header.
  std::string_view key;
  std::string_view body;
  // The Client-Account header. Set for single requests only; a job names its
  // client account in the body.
  std::string_view client_account;
};

// The refusal of a request that was not sent to any other process.
struct RejectedSubmission {
  JobAnswer answer;
  // Human-readable explanation.
  std::string detail;
};

// What the upstreams' protocol can carry as the body of a task.
// kText: UTF-8 only.
enum class TaskBodies { kBytes, kText };

using ValidatedSubmission = std::variant<JobSubmission, RejectedSubmission>;

// Validates callers' requests. A rejected request has not been sent to any
// other process, so it can be answered "not run" without further proof.
class SubmissionValidator {
 public:
  // Validates a job, whose body is {"tasks": [{"body": any, "declared_ms": n}],
  // "deadline_ms": n, "client_account": name}. `document` is the one in force,
  // or nullptr for an unknown service.
  static ValidatedSubmission Job(const RawSubmission& raw,
                                 const ServiceDocument* document);
  // Validates a single request and makes it a job of one task, whose body is
  // the request's body. The bodies of a job need no such check: they are parsed
  // from JSON, and so are text.
  static ValidatedSubmission Request(const RawSubmission& raw,
                                     const ServiceDocument* document,
                                     TaskBodies bodies);
  // Makes a job without tasks from the route of a queue and the caller's key.
  // The caller of this function adds the tasks.
  static JobSubmission QueuedJob(const ServiceName& service, const Route& route,
                                 std::string_view key, std::string_view body);
  // Makes the "not run" answer for a request that the entry does not accept.
  static RejectedSubmission Reject(Reason reason, std::string detail);
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SUBMISSION_VALIDATOR_H_
