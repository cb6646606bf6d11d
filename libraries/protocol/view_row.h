#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_ROW_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_ROW_H_

#include <optional>
#include <string>

#include "libraries/protocol/view.h"

namespace dandelionspur {

// The key of the view's row in the platform's table.
inline constexpr const char* kViewRow = "view";

std::string EncodeViewRow(const View& view);
// Returns nothing if the text is not an encoded view.
std::optional<View> DecodeViewRow(const std::string& text);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_ROW_H_
