#include "services/entry/entry_admin_routes.h"

#include <boost/asio/post.hpp>
#include <string>
#include <utility>
#include <vector>

#include "libraries/protocol/http_status.h"
#include "services/runtime/admin_routes.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

}  // namespace

EntryAdminRoutes::EntryAdminRoutes(
    asio::io_context& core_context, const EntryCore& entry_core,
    const EntryStatus& entry_status, EntryGauges& entry_gauges,
    const Metrics& entry_metrics, DocumentRoutes& documents,
    PreviewRoute& previews, RecordUploader<EntryCore>& uploader,
    std::function<void()> begin_drain)
    : context(core_context),
      core(entry_core),
      status(entry_status),
      gauges(entry_gauges),
      metrics(entry_metrics),
      document_routes(documents),
      preview_route(previews),
      records(uploader),
      drain(std::move(begin_drain)) {}

void EntryAdminRoutes::Handle(const HttpRequest& request,
                              const HttpResponder& responder) {
  const std::vector<std::string> parts =
      PathParts({request.target().data(), request.target().size()});
  const std::string path = parts.empty() ? "" : parts.back();
  if (parts.size() >= 2 && parts[0] == "v1" && parts[1] == "services") {
    this->document_routes.Handle({parts.begin() + 2, parts.end()}, request,
                                 responder);
  } else if (path == "healthz") {
    responder(JsonResponse(http_status::kOk, {{"healthy", true}}));
  } else if (path == "metrics") {
    this->SendMetrics(responder);
  } else if (path == "readyz") {
    this->SendReadiness(responder);
  } else if (path == "status") {
    this->SendStatus(responder);
  } else if (path == "would" && request.method() == http::verb::post) {
    this->preview_route.Handle(request, responder);
  } else if (path == "records") {
    this->SendUnsentRecords(responder);
  } else if (path == "drain" && request.method() == http::verb::post) {
    this->drain();
    responder(JsonResponse(http_status::kAccepted, {{"draining", true}}));
  } else {
    responder(ProblemResponse(http_status::kNotFound, "no such path"));
  }
}

void EntryAdminRoutes::SendMetrics(const HttpResponder& responder) {
  asio::post(this->context, [this, responder] {
    this->gauges.Update();
    responder(MetricsResponse(this->metrics));
  });
}

void EntryAdminRoutes::SendReadiness(const HttpResponder& responder) {
  asio::post(this->context, [this, responder] {
    const bool ready = this->core.IsReady();
    responder(JsonResponse(
        ready ? http_status::kOk : http_status::kServiceUnavailable,
        {{"ready", ready}}));
  });
}

void EntryAdminRoutes::SendStatus(const HttpResponder& responder) {
  asio::post(this->context, [this, responder] {
    responder(JsonResponse(http_status::kOk, this->status.Encode()));
  });
}

void EntryAdminRoutes::SendUnsentRecords(const HttpResponder& responder) {
  this->records.ReadUnsent(
      [responder](const std::vector<FinishedSegment>& unsent) {
        responder(SegmentsResponse(unsent));
      });
}

}  // namespace dandelionspur
