#ifndef DANDELIONSPUR_SERVICES_ENTRY_ENTRY_ADMIN_ROUTES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ENTRY_ADMIN_ROUTES_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "libraries/entry_core/entry_core.h"
#include "libraries/network/http_server.h"
#include "libraries/telemetry/metrics.h"
#include "services/entry/document_routes.h"
#include "services/entry/entry_gauges.h"
#include "services/entry/entry_status.h"
#include "services/entry/preview_route.h"
#include "services/runtime/record_uploader.h"

namespace dandelionspur {

// The HTTP interface of an entry for operators; see docs/api.md.
class EntryAdminRoutes {
 public:
  // `begin_drain` begins a graceful shutdown; it must be safe from any thread.
  EntryAdminRoutes(boost::asio::io_context& core_context,
                   const EntryCore& entry_core, const EntryStatus& entry_status,
                   EntryGauges& entry_gauges, const Metrics& entry_metrics,
                   DocumentRoutes& documents, PreviewRoute& previews,
                   RecordUploader<EntryCore>& uploader,
                   std::function<void()> begin_drain);
  EntryAdminRoutes(const EntryAdminRoutes&) = delete;
  EntryAdminRoutes& operator=(const EntryAdminRoutes&) = delete;

  // Handles one request. Safe from any of the server's threads.
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  void SendMetrics(const HttpResponder& responder);
  void SendReadiness(const HttpResponder& responder);
  void SendStatus(const HttpResponder& responder);
  // Sends the records that are not yet in the object store.
  void SendUnsentRecords(const HttpResponder& responder);

  boost::asio::io_context& context;
  const EntryCore& core;
  const EntryStatus& status;
  EntryGauges& gauges;
  const Metrics& metrics;
  DocumentRoutes& document_routes;
  PreviewRoute& preview_route;
  RecordUploader<EntryCore>& records;
  std::function<void()> drain;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ENTRY_ADMIN_ROUTES_H_
