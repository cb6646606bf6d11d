#include "services/entry/serving_state.h"

#include <optional>
#include <utility>

#include "libraries/configuration/stored_document.h"

namespace dandelionspur {

bool ServingState::Adopt(const VersionedDocument& document) {
  std::shared_ptr<const ServedDocument>& current =
      this->documents[document.service];
  if (current != nullptr && current->source.text == document.text) {
    current = std::make_shared<ServedDocument>(
        ServedDocument{current->parsed, document});
    return true;
  }
  std::optional<ServiceDocument> read = ParseStoredDocument(document);
  if (!read) {
    if (current == nullptr) this->documents.erase(document.service);
    return false;
  }
  auto parsed = std::make_shared<const ServiceDocument>(std::move(*read));
  current = std::make_shared<ServedDocument>(ServedDocument{parsed, document});
  this->routes.Replace(document.service, std::move(parsed));
  return true;
}

std::size_t ServingState::RoutesOf(const ServiceName& service) const {
  const auto found = this->documents.find(service);
  return found == this->documents.end() ? 0
                                        : found->second->parsed->routes.size();
}

}  // namespace dandelionspur
