#include "libraries/protocol/view_row.h"

#include "libraries/protocol/table_row.h"

namespace dandelionspur {

std::string EncodeViewRow(const View& view) { return EncodeTableRow(view); }

std::optional<View> DecodeViewRow(const std::string& text) {
  return DecodeTableRow<View>(text);
}

}  // namespace dandelionspur
