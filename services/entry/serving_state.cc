#include "services/entry/serving_state.h"

#include <optional>

#include "libraries/configuration/stored_document.h"

namespace dandelionspur {

bool ServingState::Adopt(const VersionedDocument& document) {
  const std::optional<ServiceDocument> parsed = ParseStoredDocument(document);
  if (!parsed) return false;
  this->documents[document.service] = {*parsed, document};
  this->routes = RouteTable();
  for (const auto& [service, served] : this->documents) {
    this->routes.Add(service, served.parsed.routes);
  }
  return true;
}

}  // namespace dandelionspur
