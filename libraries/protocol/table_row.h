#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_TABLE_ROW_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_TABLE_ROW_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "libraries/protocol/codec.h"
#include "libraries/protocol/parse_json.h"

namespace dandelionspur {

// The text of a table row that holds `value`. Rows hold text, so the
// MessagePack of the value is converted to JSON.
template <typename T>
std::string EncodeTableRow(const T& value) {
  return nlohmann::json::from_msgpack(WireCodec::ToMessagePack(value)).dump();
}

// Fails if the text does not hold a T.
template <typename T>
Result<T> ParseTableRow(const std::string& text) {
  BOOST_LEAF_AUTO(row, ParseJson(text, "row"));
  std::string bytes;
  nlohmann::json::to_msgpack(row, bytes);
  return WireCodec::FromMessagePack<T>(bytes);
}

// Returns nothing if the text does not hold a T.
template <typename T>
std::optional<T> DecodeTableRow(const std::string& text) {
  return OrElse(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, ParseTableRow<T>(text));
        return std::optional<T>(std::move(value));
      },
      [](const std::string&) { return std::optional<T>(); });
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_TABLE_ROW_H_
