#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SUBMISSION_VALIDATOR_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SUBMISSION_VALIDATOR_H_

#include <string>
#include <string_view>
#include <variant>

#include "libraries/configuration/service_document.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

// A request as it came, before anything is known to be right about it.
struct RawSubmission {
  ServiceName service;
  // The Idempotency-Key header.
  std::string_view key;
  std::string_view body;
  // The Client-Account header; only for single requests.
  std::string_view client_account;
};

// Why a request was refused before any other process heard of it.
struct RejectedSubmission {
  JobAnswer answer;
  // For a person.
  std::string detail;
};

using ValidatedSubmission = std::variant<JobSubmission, RejectedSubmission>;

// Checks callers' requests. What it rejects has reached no other process, so
// it may say "not run".
class SubmissionValidator {
 public:
  // `document`: the one in force, or nullptr for an unknown service.
  // A job: {"tasks": [{"body": any, "declared_ms": n}], "deadline_ms": n,
  // "client_account": name}.
  static ValidatedSubmission Job(const RawSubmission& raw,
                                 const ServiceDocument* document);
  // One task whose body is the request's body.
  static ValidatedSubmission Request(const RawSubmission& raw,
                                     const ServiceDocument* document);
  // A job whose caller named a queue and a key; the tasks are still missing.
  static JobSubmission QueuedJob(const ServiceName& service, const Route& route,
                                 std::string_view key, std::string_view body);
  // Refuses a request that the entry does not take in.
  static RejectedSubmission Reject(Reason reason, std::string detail);
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SUBMISSION_VALIDATOR_H_
