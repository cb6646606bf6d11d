#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_PARSE_JSON_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_PARSE_JSON_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace dandelionspur {

// The most arrays and objects that may be nested in one another. The library's
// copying and encoding of a value are recursive, so without a limit a text of
// some hundred kilobytes overflows the stack.
inline constexpr std::size_t kMaximumJsonDepth = 100;

enum class JsonComments { kRefused, kIgnored };

// Parses JSON from another process. Fails if it is malformed, not UTF-8, has a
// number beyond the range of a double, or is nested too deeply. Errors name the
// text by `source` and are fit for a log line.
Result<nlohmann::json> ParseJson(
    std::string_view text, const std::string& source,
    JsonComments comments = JsonComments::kRefused);

// Whether the bytes are UTF-8, so that they can be written as JSON.
bool IsUtf8(std::string_view bytes);

// Encodes a value whose texts may hold any bytes, for people to read: bytes
// that are not UTF-8 become U+FFFD.
std::string DumpForDisplay(const nlohmann::json& value);

// A message that may quote bytes from another process, in a form fit for a log
// line: shortened to 300 bytes, and with '?' for all but printable ASCII.
std::string BoundedMessage(std::string_view message);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_PARSE_JSON_H_
