#include "services/entry/submission_reader.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "platform/job_calls.h"
#include "services/runtime/admin_routes.h"

namespace dandelionspur {

TaskBodies BodiesFor(UpstreamProtocol protocol) {
  return protocol == UpstreamProtocol::kOwn ? TaskBodies::kBytes
                                            : TaskBodies::kText;
}

std::string_view HeaderValue(const HttpRequest& request,
                             std::string_view name) {
  const auto found = request.find(name);
  if (found == request.end()) return {};
  return {found->value().data(), found->value().size()};
}

ValidatedSubmission ReadQueueSubmission(const RouteTable::Match& match,
                                        const HttpRequest& request) {
  auto decoded = DecodeJob(request.body());
  if (const auto* problem = std::get_if<JobDecodeError>(&decoded)) {
    return SubmissionValidator::Reject(problem->reason, problem->detail);
  }
  DecodedJob& content = std::get<DecodedJob>(decoded);
  // The tasks of such a job have equal bodies.
  if (content.tasks.front().body.size() > kMaximumTaskBodyBytes) {
    return SubmissionValidator::Reject(
        Reason::kMalformedRequest,
        "the body of a task must not exceed 1048576 bytes");
  }
  JobSubmission job = SubmissionValidator::QueuedJob(
      match.service, *match.route, match.rest, request.body());
  const std::optional<Duration> caller_timeout = CallerTimeout(request);
  // The caller's own timeout takes precedence over the route's.
  if (caller_timeout) job.time_allowed = *caller_timeout;
  job.rerun = content.rerun;
  Duration longest_task{};
  for (const TaskRequest& task : content.tasks) {
    longest_task = std::max(longest_task, task.declared);
  }
  job.objective = match.route->Objective(longest_task);
  job.priority = match.route->priority;
  job.tasks = std::move(content.tasks);
  return job;
}

ValidatedSubmission ReadApiSubmission(const ServiceName& service,
                                      ApiSubmission kind,
                                      const HttpRequest& request,
                                      const ServingState& state,
                                      TaskBodies bodies) {
  RawSubmission raw;
  raw.service = service;
  raw.key = HeaderValue(request, "Idempotency-Key");
  raw.client_account = HeaderValue(request, "Client-Account");
  raw.body = request.body();
  const auto found = state.documents.find(service);
  const ServiceDocument* document =
      found == state.documents.end() ? nullptr : found->second->parsed.get();
  return kind == ApiSubmission::kRequest
             ? SubmissionValidator::Request(raw, document, bodies)
             : SubmissionValidator::Job(raw, document);
}

std::optional<SubmissionCall> ReadSubmissionCall(const HttpRequest& request,
                                                 const ServingState& state,
                                                 TaskBodies bodies) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const RouteTable::Match match =
      state.routes.Find(HeaderValue(request, "Host"), path);
  if (match.route != nullptr) {
    if (KindOfJobCall(request, match.rest) != JobCallKind::kSubmit) return {};
    return SubmissionCall{match.service, *match.route,
                          ReadQueueSubmission(match, request)};
  }
  constexpr std::size_t kCollectionParts = 4;
  const std::vector<std::string> parts = PathParts(std::string(path));
  const bool is_known_path = parts.size() == kCollectionParts &&
                             parts[0] == "v1" && parts[1] == "services" &&
                             (parts[3] == "jobs" || parts[3] == "requests");
  if (!is_known_path) return {};
  const ServiceName service(parts[2]);
  const ApiSubmission kind =
      parts[3] == "jobs" ? ApiSubmission::kJob : ApiSubmission::kRequest;
  return SubmissionCall{
      service, std::nullopt,
      ReadApiSubmission(service, kind, request, state, bodies)};
}

}  // namespace dandelionspur
