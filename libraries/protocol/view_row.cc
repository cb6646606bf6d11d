#include "libraries/protocol/view_row.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "libraries/protocol/codec.h"

namespace dandelionspur {

std::string EncodeViewRow(const View& view) {
  // MessagePack is not text, and rows are text.
  return WireCodec::Encode(view).dump();
}

std::optional<View> DecodeViewRow(const std::string& text) {
  try {
    View view;
    WireCodec::Read(nlohmann::json::parse(text), view);
    return view;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace dandelionspur
