#include "libraries/configuration/stored_document.h"

#include <string>

#include "libraries/base/error.h"

namespace dandelionspur {

std::optional<ServiceDocument> ParseStoredDocument(
    const VersionedDocument& document) {
  return OrElse(
      [&]() -> Result<std::optional<ServiceDocument>> {
        BOOST_LEAF_AUTO(value, ParseServiceDocument(document.text,
                                                    document.service.value()));
        return value;
      },
      [](const std::string&) { return std::optional<ServiceDocument>(); });
}

}  // namespace dandelionspur
