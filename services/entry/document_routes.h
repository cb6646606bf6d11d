#ifndef DANDELIONSPUR_SERVICES_ENTRY_DOCUMENT_ROUTES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_DOCUMENT_ROUTES_H_

#include <string>
#include <vector>

#include "libraries/network/http_server.h"
#include "services/entry/serving_state.h"
#include "services/entry/table_watcher.h"

namespace dandelionspur {

// The admin routes for service documents under /v1/services; see docs/api.md.
class DocumentRoutes {
 public:
  DocumentRoutes(const PublishedServingState& state, TableWatcher& watcher)
      : serving(state), table(watcher) {}

  // `parts` are the path segments after /v1/services.
  void Handle(const std::vector<std::string>& parts, const HttpRequest& request,
              const HttpResponder& responder);

 private:
  void List(const HttpResponder& responder);
  void Get(const ServiceName& service, const HttpResponder& responder);
  void Put(const ServiceName& service, const HttpRequest& request,
           const HttpResponder& responder);
  void History(const ServiceName& service, const HttpResponder& responder);

  const PublishedServingState& serving;
  TableWatcher& table;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_DOCUMENT_ROUTES_H_
