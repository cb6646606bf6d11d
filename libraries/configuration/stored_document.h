#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_STORED_DOCUMENT_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_STORED_DOCUMENT_H_

#include <optional>

#include "libraries/configuration/service_document.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// Parses a document that has been stored. Documents are validated when they are
// written; one that does not parse comes from a newer release. Returns nothing
// for such a document, so that the one in force stays.
std::optional<ServiceDocument> ParseStoredDocument(
    const VersionedDocument& document);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_STORED_DOCUMENT_H_
