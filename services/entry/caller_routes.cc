#include "services/entry/caller_routes.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "libraries/decision_log/log_events.h"
#include "libraries/protocol/parse_json.h"
#include "libraries/telemetry/log.h"
#include "platform/base64.h"
#include "platform/job_calls.h"
#include "services/entry/submission_reader.h"
#include "services/runtime/admin_routes.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

// Paths under this prefix are the dispatcher's own API; all others are
// platform queues.
constexpr std::string_view kApiPrefix = "/v1/";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

unsigned StatusFor(Reason reason) {
  switch (reason) {
    case Reason::kComplete:
      return kOk;
    case Reason::kMalformedRequest:
      return kBadRequest;
    case Reason::kUnknownService:
    case Reason::kNotFound:
      return kNotFound;
    case Reason::kCancelled:
    case Reason::kKeyExpired:
      return kConflict;
    case Reason::kKeyReused:
    case Reason::kImpossibleJob:
      return kUnprocessable;
    case Reason::kQuotaExceeded:
      return kTooManyRequests;
    case Reason::kTaskFailed:
    case Reason::kTaskCrashesUpstreams:
    case Reason::kUpstreamBroken:
    case Reason::kAgentLost:
      return kBadGateway;
    case Reason::kDeadlineExceeded:
    case Reason::kHomeUnreachable:
      return kGatewayTimeout;
    default:
      return kUnavailable;
  }
}

// A result that JSON can't hold as text is an object with its base64.
nlohmann::json ResultJson(const std::string& bytes) {
  if (IsUtf8(bytes)) return bytes;
  return {{"base64", EncodeBase64(bytes)}};
}

nlohmann::json ResultsJson(const JobAnswer& answer) {
  nlohmann::json results = nlohmann::json::array();
  for (const Payload& result : answer.results) {
    results.push_back(ResultJson(result.bytes()));
  }
  return results;
}

}  // namespace

HttpResponse AnswerResponse(const JobAnswer& answer, bool raw_answer,
                            const std::string& detail) {
  const unsigned status = StatusFor(answer.reason);
  if (answer.reason == Reason::kComplete && raw_answer) {
    HttpResponse response = MakeHttpResponse(status, "application/octet-stream",
                                             answer.results.front().bytes());
    response.set("Verdict", std::string(VerdictName(answer.verdict)));
    return response;
  }
  nlohmann::json body = {{"verdict", VerdictName(answer.verdict)},
                         {"reason", ReasonName(answer.reason)}};
  if (answer.reason == Reason::kComplete) {
    body["results"] = ResultsJson(answer);
    return JsonResponse(status, body);
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double retry_after =
      static_cast<double>(answer.retry_after.count()) / kMicrosecondsPerSecond;
  body["type"] = "about:blank";
  body["title"] = ReasonName(answer.reason);
  body["status"] = status;
  body["retry_after"] = retry_after;
  if (!detail.empty()) body["detail"] = detail;
  HttpResponse response = JsonResponse(status, body);
  response.set(http::field::content_type, "application/problem+json");
  if (answer.retry_after > Duration()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    response.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  return response;
}

HttpResponse CancelResponse(const JobAnswer& answer) {
  if (answer.reason != Reason::kCancelled) {
    return AnswerResponse(answer, false,
                          "it isn't known whether the cancelling holds; it may "
                          "be repeated");
  }
  return JsonResponse(kOk, {{"cancel", "holds"}});
}

HttpResponse OverloadResponse(const HttpRequest& request) {
  constexpr Duration kRetryAfter = std::chrono::seconds(1);
  const char* const detail = "this entry has no room for the request";
  if (request.method() != http::verb::post) {
    return AnswerResponse(JobAnswer::MayHaveRun(Reason::kHomeUnreachable),
                          false, detail);
  }
  RejectedSubmission rejected =
      SubmissionValidator::Reject(Reason::kQueueFull, detail);
  rejected.answer.retry_after = kRetryAfter;
  return AnswerResponse(rejected.answer, false, rejected.detail);
}

HttpResponse InternalErrorResponse() {
  const nlohmann::json body = {{"verdict", VerdictName(Verdict::kMayHaveRun)},
                               {"reason", "internal_error"},
                               {"type", "about:blank"},
                               {"title", "internal_error"},
                               {"status", kBadGateway}};
  HttpResponse response = JsonResponse(kBadGateway, body);
  response.set(http::field::content_type, "application/problem+json");
  return response;
}

struct CallerRoutes::Target {
  ServiceName service;
  // Job key; empty for a new submission.
  std::string key;
  bool is_request = false;
};

CallerRoutes::CallerRoutes(const PublishedServingState& state,
                           CoreInterface core_interface,
                           UpstreamProtocol protocol, Metrics& counters)
    : serving(state),
      core(std::move(core_interface)),
      task_bodies(BodiesFor(protocol)),
      response_times(
          counters.HistogramFor("stage_seconds", "stage", "response")),
      answers(counters, "answers_total"),
      cancel_answers(counters, "cancel_answers_total") {}

void CallerRoutes::Handle(const HttpRequest& request, HttpResponder responder) {
  if (this->HandleQueueCall(request, responder)) return;
  constexpr std::size_t kCollectionParts = 4;
  constexpr std::size_t kItemParts = 5;
  const std::vector<std::string> parts =
      PathParts({request.target().data(), request.target().size()});
  const bool is_known_path = parts.size() >= kCollectionParts &&
                             parts[0] == "v1" && parts[1] == "services" &&
                             (parts[3] == "jobs" || parts[3] == "requests");
  if (!is_known_path) {
    responder(ProblemResponse(kNotFound, "no such path"));
    return;
  }
  Target target{ServiceName(parts[2]), "", parts[3] == "requests"};
  if (parts.size() == kItemParts) target.key = parts[4];
  const bool is_item = !target.key.empty();
  if (request.method() == http::verb::post && !is_item) {
    this->Submit(target, request, std::move(responder));
  } else if (request.method() == http::verb::get && is_item) {
    this->Await(target, std::move(responder));
  } else if (request.method() == http::verb::delete_ && is_item) {
    this->Cancel(target.service, target.key, std::move(responder),
                 CancelResponse);
  } else {
    constexpr unsigned kMethodNotAllowed = 405;
    responder(ProblemResponse(kMethodNotAllowed, "not allowed here"));
  }
}

void CallerRoutes::Submit(const Target& target, const HttpRequest& request,
                          HttpResponder responder) {
  const ApiSubmission kind =
      target.is_request ? ApiSubmission::kRequest : ApiSubmission::kJob;
  ValidatedSubmission validated =
      this->serving.Read([&](const ServingState& state) {
        return ReadApiSubmission(target.service, kind, request, state,
                                 this->task_bodies);
      });
  if (const auto* rejected = std::get_if<RejectedSubmission>(&validated)) {
    this->answers.Count(rejected->answer.reason);
    LogEvent(
        LogCategory::kFailure,
        RequestRejected{std::string(HeaderValue(request, "Idempotency-Key")),
                        target.service.value(), rejected->answer.reason,
                        rejected->detail});
    responder(AnswerResponse(rejected->answer, false, rejected->detail));
    return;
  }
  this->SubmitToCore(std::move(std::get<JobSubmission>(validated)),
                     std::move(responder),
                     [raw_answer = target.is_request](const JobAnswer& answer) {
                       return AnswerResponse(answer, raw_answer, "");
                     });
}

void CallerRoutes::Await(const Target& target, HttpResponder responder) {
  constexpr Duration kMaximumWait = std::chrono::seconds(30);
  JobSubmission job;
  job.kind = SubmissionKind::kJoin;
  job.key = JobKey::FromText(target.service, target.key);
  job.service = target.service;
  job.time_allowed = kMaximumWait;
  this->SubmitToCore(std::move(job), std::move(responder),
                     [raw_answer = target.is_request](const JobAnswer& answer) {
                       return AnswerResponse(answer, raw_answer, "");
                     });
}

bool CallerRoutes::HandleQueueCall(const HttpRequest& request,
                                   const HttpResponder& responder) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  return this->serving.Read([&](const ServingState& state) {
    const std::string_view path = target.substr(0, target.find('?'));
    const RouteTable::Match match =
        state.routes.Find(HeaderValue(request, "Host"), path);
    if (match.route == nullptr) {
      if (path.starts_with(kApiPrefix)) return false;
      responder(state.documents.empty() ? EncodeNotConfigured()
                                        : EncodeNoSuchQueue());
      return true;
    }
    switch (KindOfJobCall(request, match.rest)) {
      case JobCallKind::kSubmit:
        this->SubmitToQueue(match, request, responder);
        break;
      case JobCallKind::kCancel:
        this->Cancel(match.service, match.rest, responder, EncodeJobAnswer);
        break;
      case JobCallKind::kGetQueue:
        // A job with a waiting caller is started or refused immediately, so no
        // queue is reported.
        responder(EncodeQueueLength(0));
        break;
      case JobCallKind::kGetState:
        responder(EncodeNoSuchJob());
        break;
      case JobCallKind::kUnknown:
        responder(EncodeNoSuchQueue());
        break;
    }
    return true;
  });
}

void CallerRoutes::SubmitToQueue(const RouteTable::Match& match,
                                 const HttpRequest& request,
                                 HttpResponder responder) {
  ValidatedSubmission validated = ReadQueueSubmission(match, request);
  if (const auto* rejected = std::get_if<RejectedSubmission>(&validated)) {
    this->answers.Count(rejected->answer.reason);
    LogEvent(LogCategory::kFailure,
             RequestRejected{std::string(match.rest), match.service.value(),
                             rejected->answer.reason, rejected->detail});
    responder(EncodeJobAnswer(rejected->answer));
    return;
  }
  this->SubmitToCore(std::move(std::get<JobSubmission>(validated)),
                     std::move(responder), EncodeJobAnswer);
}

void CallerRoutes::SubmitToCore(JobSubmission job, HttpResponder responder,
                                AnswerEncoder encode) {
  const auto began = std::chrono::steady_clock::now();
  this->core.submit(std::move(job), [this, began, encoder = std::move(encode),
                                     respond = std::move(responder)](
                                        const JobAnswer& answer) {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - began;
    this->answers.Count(answer.reason);
    this->response_times.Observe(elapsed.count());
    // Encodes off the core's thread, since large answers take long to encode.
    respond.Defer([answer, encoder] { return encoder(answer); });
  });
}

void CallerRoutes::Cancel(const ServiceName& service, std::string_view name,
                          HttpResponder responder, AnswerEncoder encode) {
  JobSubmission job;
  job.kind = SubmissionKind::kJoin;
  job.key = JobKey::FromText(service, name);
  job.name = name;
  job.service = service;
  this->core.cancel(
      std::move(job),
      [this, encoder = std::move(encode), respond = std::move(responder),
       name = std::string(name), service](const JobAnswer& answer) {
        this->cancel_answers.Count(answer.reason);
        if (answer.reason != Reason::kCancelled) {
          LogEvent(LogCategory::kFailure,
                   RequestRejected{name, service.value(), answer.reason,
                                   "cancelling not confirmed"});
        }
        respond(encoder(answer));
      });
}

}  // namespace dandelionspur
