#ifndef DANDELIONSPUR_SERVICES_RUNTIME_HANDLER_BOUNDARY_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_HANDLER_BOUNDARY_H_

#include <boost/describe.hpp>
#include <exception>
#include <string_view>
#include <utility>

#include "libraries/network/http_messages.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

// What a handler handles one of.
// kRequest: an HTTP request. kRow: a row of the table service.
// kUpstreamOrder: an order to the upstream. kUpstreamAnswer: its answer.
BOOST_DEFINE_ENUM_CLASS(HandlerKind, kRequest, kRow, kUpstreamOrder,
                        kUpstreamAnswer)

enum class HandlerOutcome { kCompleted, kThrew };

// The boundary of the handlers of single requests, rows and answers: what such
// a handler throws ends that one, with a log line and a counter, and neither
// the loop around it nor the process. A handler must call cores through
// RunCoreStep, whose exceptions don't get here. Safe from any thread.
class HandlerBoundary {
 public:
  explicit HandlerBoundary(Metrics& counters) : metrics(counters) {}

  template <typename Handler>
  HandlerOutcome Run(HandlerKind kind, Handler&& handler) const {
    try {
      std::forward<Handler>(handler)();
      return HandlerOutcome::kCompleted;
    } catch (const std::exception& exception) {
      this->Report(kind, exception.what());
    } catch (...) {
      this->Report(kind, "an exception of an unknown type");
    }
    return HandlerOutcome::kThrew;
  }

 private:
  void Report(HandlerKind kind, std::string_view reason) const;

  Metrics& metrics;
};

// Returns a handler that calls `handler` within a boundary and sends exactly
// one response: `failure` if the handler, or the factory of its response,
// throws before there is one. `counters` must outlive the handler.
HttpHandler GuardRequests(Metrics& counters, HttpHandler handler,
                          HttpResponse failure);
// The same with a problem document of status 500 as the failure.
HttpHandler GuardRequests(Metrics& counters, HttpHandler handler);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_HANDLER_BOUNDARY_H_
