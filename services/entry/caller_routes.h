#ifndef DANDELIONSPUR_SERVICES_ENTRY_CALLER_ROUTES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_CALLER_ROUTES_H_

#include <functional>
#include <string>
#include <string_view>

#include "libraries/configuration/settings.h"
#include "libraries/entry_core/submission_validator.h"
#include "libraries/network/http_server.h"
#include "libraries/protocol/job.h"
#include "services/entry/serving_state.h"
#include "services/entry/waiting_callers.h"
#include "services/runtime/message_counters.h"

namespace dandelionspur {

// The calls that the HTTP routes make to the core. Safe from any thread.
struct CoreInterface {
  // Invokes the callback exactly once, on the core's thread.
  std::function<void(JobSubmission, AnswerCallback)> submit;
  // Cancels the job with this key. Invokes the callback exactly once, on the
  // core's thread: with kCancelled once the cancelling holds, or with the
  // reason why that isn't known.
  std::function<void(JobSubmission, AnswerCallback)> cancel;
};

// The HTTP interface for callers; see docs/api.md.
class CallerRoutes {
 public:
  CallerRoutes(const PublishedServingState& state, CoreInterface core_interface,
               UpstreamProtocol protocol, Metrics& counters);

  // Handles one request. Safe from any of the server's threads.
  void Handle(const HttpRequest& request, HttpResponder responder);

 private:
  struct Target;

  // Handles a call to a platform queue. Returns false, without responding, if
  // no queue has this path and it belongs to the /v1/ interface.
  bool HandleQueueCall(const HttpRequest& request,
                       const HttpResponder& responder);
  void SubmitToQueue(const RouteTable::Match& match, const HttpRequest& request,
                     HttpResponder responder);
  void Submit(const Target& target, const HttpRequest& request,
              HttpResponder responder);
  void Await(const Target& target, HttpResponder responder);
  using AnswerEncoder = std::function<HttpResponse(const JobAnswer&)>;
  void Cancel(const ServiceName& service, std::string_view name,
              HttpResponder responder, AnswerEncoder encode);
  void SubmitToCore(JobSubmission job, HttpResponder responder,
                    AnswerEncoder encode);

  const PublishedServingState& serving;
  CoreInterface core;
  TaskBodies task_bodies;
  prometheus::Histogram& response_times;
  ReasonCounters answers;
  ReasonCounters cancel_answers;
};

// Encodes a job's answer: its results, or application/problem+json (RFC 9457)
// with the verdict and the reason. With `raw_answer`, a success is the first
// result's bytes alone.
HttpResponse AnswerResponse(const JobAnswer& answer, bool raw_answer,
                            const std::string& detail);

// Encodes the answer to a cancelling: whether it holds, or a problem.
HttpResponse CancelResponse(const JobAnswer& answer);
// The refusal of a call that was not handled, since the entry has no room for
// it. Says of a submission that it has not run, and of any other call that
// nothing is known.
HttpResponse OverloadResponse(const HttpRequest& request);
// The response to a call whose handler has thrown: whether the job has been
// submitted by then is not known. Callers of queues may repeat such a call.
HttpResponse InternalErrorResponse();

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_CALLER_ROUTES_H_
