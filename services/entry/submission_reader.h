#ifndef DANDELIONSPUR_SERVICES_ENTRY_SUBMISSION_READER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_SUBMISSION_READER_H_

#include <optional>
#include <string_view>

#include "libraries/configuration/settings.h"
#include "libraries/entry_core/submission_validator.h"
#include "libraries/network/http_messages.h"
#include "services/entry/serving_state.h"

namespace dandelionspur {

// The product's own protocol sends a task's body as it is, the platform's
// within JSON.
TaskBodies BodiesFor(UpstreamProtocol protocol);

// Empty if the request has no such header.
std::string_view HeaderValue(const HttpRequest& request, std::string_view name);

// Reads the job that a caller submits to a queue of the platform.
ValidatedSubmission ReadQueueSubmission(const RouteTable::Match& match,
                                        const HttpRequest& request);

// What a call to the dispatcher's own interface submits.
enum class ApiSubmission { kJob, kRequest };

ValidatedSubmission ReadApiSubmission(const ServiceName& service,
                                      ApiSubmission kind,
                                      const HttpRequest& request,
                                      const ServingState& state,
                                      TaskBodies bodies);

// A request that submits a job, by either interface.
struct SubmissionCall {
  ServiceName service;
  // Set for calls of queues.
  std::optional<Route> route;
  ValidatedSubmission submission;
};

// Nothing if the request's path belongs to no queue and no service.
std::optional<SubmissionCall> ReadSubmissionCall(const HttpRequest& request,
                                                 const ServingState& state,
                                                 TaskBodies bodies);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_SUBMISSION_READER_H_
