#ifndef DANDELIONSPUR_SERVICES_ENTRY_DOCUMENT_ROUTES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_DOCUMENT_ROUTES_H_

#include <string>
#include <vector>

#include "libraries/network/http_server.h"
#include "services/entry/serving_state.h"
#include "services/entry/table_watcher.h"

namespace dandelionspur {

// The admin paths for service documents, below /v1/services: docs/api.md.
class DocumentRoutes {
 public:
  DocumentRoutes(const PublishedServingState& state, TableWatcher& watcher)
      : serving(state), table(watcher) {}

  // `parts`: the path after /v1/services.
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
