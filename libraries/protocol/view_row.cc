#include "libraries/protocol/view_row.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "libraries/protocol/codec.h"

namespace dandelionspur {

std::string EncodeViewRow(const View& view) {
  // Rows hold text, so the MessagePack is converted to JSON.
  return nlohmann::json::from_msgpack(WireCodec::ToMessagePack(view)).dump();
}

std::optional<View> DecodeViewRow(const std::string& text) {
  const nlohmann::json row = nlohmann::json::parse(text, nullptr, false);
  if (row.is_discarded()) return std::nullopt;
  std::string bytes;
  nlohmann::json::to_msgpack(row, bytes);
  return OrElse(
      [&]() -> Result<std::optional<View>> {
        BOOST_LEAF_AUTO(view, WireCodec::FromMessagePack<View>(bytes));
        return std::optional<View>(std::move(view));
      },
      [](const std::string&) { return std::optional<View>(); });
}

}  // namespace dandelionspur
