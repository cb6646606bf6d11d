#include "services/runtime/handler_boundary.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "libraries/base/enum_name.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"
#include "services/runtime/admin_routes.h"

namespace dandelionspur {
namespace {

// Passes on the first response to one request. What builds it may throw.
class GuardedResponder {
 public:
  GuardedResponder(const HandlerBoundary& guard, HttpResponder wrapped,
                   std::shared_ptr<const HttpResponse> on_failure)
      : boundary(guard),
        responder(std::move(wrapped)),
        failure(std::move(on_failure)) {}

  void Send(HttpResponseFactory make) {
    if (this->responded.exchange(true)) return;
    this->responder.Defer([guard = this->boundary, failed = this->failure,
                           maker = std::move(make)] {
      std::optional<HttpResponse> response;
      guard.Run(HandlerKind::kRequest, [&] { response = maker(); });
      return response.value_or(*failed);
    });
  }

  void SendFailure() {
    this->Send([failed = this->failure] { return *failed; });
  }

 private:
  HandlerBoundary boundary;
  HttpResponder responder;
  std::shared_ptr<const HttpResponse> failure;
  std::atomic<bool> responded{false};
};

}  // namespace

void HandlerBoundary::Report(HandlerKind kind, std::string_view reason) const {
  this->metrics.Count("handler_failures_total", "kind", EnumName(kind));
  LogEvent(LogCategory::kFailure,
           HandlerFailed{std::string(EnumName(kind)), std::string(reason)});
}

HttpHandler GuardRequests(Metrics& counters, HttpHandler handler,
                          HttpResponse failure) {
  return [boundary = HandlerBoundary(counters), inner = std::move(handler),
          failed = std::make_shared<const HttpResponse>(std::move(failure))](
             HttpRequest request, HttpResponder responder) {
    const auto guarded = std::make_shared<GuardedResponder>(
        boundary, std::move(responder), failed);
    const HandlerOutcome outcome = boundary.Run(HandlerKind::kRequest, [&] {
      inner(std::move(request),
            HttpResponder([guarded](HttpResponseFactory make) {
              guarded->Send(std::move(make));
            }));
    });
    if (outcome == HandlerOutcome::kThrew) guarded->SendFailure();
  };
}

HttpHandler GuardRequests(Metrics& counters, HttpHandler handler) {
  constexpr unsigned kInternalError = 500;
  return GuardRequests(counters, std::move(handler),
                       ProblemResponse(kInternalError,
                                       "the request failed by an error of this "
                                       "process; its log names the reason"));
}

}  // namespace dandelionspur
