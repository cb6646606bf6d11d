#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_ROW_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_ROW_H_

#include <optional>
#include <string>

#include "libraries/protocol/view.h"

namespace dandelionspur {

// The row of the platform's table that holds the view.
inline constexpr const char* kViewRow = "view";

std::string EncodeViewRow(const View& view);
// Nothing where the text is not a view.
std::optional<View> DecodeViewRow(const std::string& text);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_VIEW_ROW_H_
