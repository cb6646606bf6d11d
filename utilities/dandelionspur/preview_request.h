#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_PREVIEW_REQUEST_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_PREVIEW_REQUEST_H_

#include <nlohmann/json.hpp>
#include <string>

#include "libraries/base/error.h"
#include "utilities/dandelionspur/commands.h"

namespace dandelionspur {

// The body of `POST /v1/would` for the request that the options and the path
// describe.
Result<nlohmann::json> ReadPreviewRequest(const CommandOptions& options,
                                          const std::string& target);

// What an entry's answer to it says, for people.
std::string PreviewText(const nlohmann::json& preview);
CommandExit PreviewExit(const nlohmann::json& preview);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_PREVIEW_REQUEST_H_
