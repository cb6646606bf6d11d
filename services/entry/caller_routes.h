#ifndef DANDELIONSPUR_SERVICES_ENTRY_CALLER_ROUTES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_CALLER_ROUTES_H_

#include <functional>
#include <string>

#include "libraries/network/http_server.h"
#include "libraries/protocol/job.h"
#include "services/entry/serving_state.h"
#include "services/runtime/message_counters.h"

namespace dandelionspur {

using AnswerCallback = std::function<void(const JobAnswer&)>;

// How the routes reach the core; from any thread.
struct CallerPort {
  // Calls back once, on the core's thread.
  std::function<void(JobSubmission, AnswerCallback)> submit;
  std::function<void(const JobKey&)> cancel;
};

// The HTTP interface for callers: docs/api.md.
class CallerRoutes {
 public:
  CallerRoutes(const PublishedServingState& state, CallerPort port,
               Metrics& counters);

  // Serves one request; on any of the server's threads.
  void Handle(const HttpRequest& request, HttpResponder responder);

 private:
  struct Target;

  // Serves a call to a queue of the platform; false where it is none.
  bool HandleQueueCall(const HttpRequest& request,
                       const HttpResponder& responder);
  void SubmitToQueue(const RouteTable::Match& match, const HttpRequest& request,
                     HttpResponder responder);
  void Submit(const Target& target, const HttpRequest& request,
              HttpResponder responder);
  void Await(const Target& target, HttpResponder responder);
  void Cancel(const Target& target, const HttpResponder& responder);
  using AnswerEncoder = std::function<HttpResponse(const JobAnswer&)>;
  void Enter(JobSubmission job, HttpResponder responder, AnswerEncoder encode);

  const PublishedServingState& serving;
  CallerPort core;
  prometheus::Histogram& response_times;
  ReasonCounters answers;
};

// The answer as HTTP: the results, or application/problem+json (RFC 9457)
// with the verdict and the reason.
HttpResponse AnswerResponse(const JobAnswer& answer, bool raw_answer,
                            const std::string& detail);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_CALLER_ROUTES_H_
