#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_PARSE_JSON_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_PARSE_JSON_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace dandelionspur {

// The most arrays and objects that may be nested in one another. The library's
// copying and encoding of a value are recursive, so without a limit a text of
// some hundred kilobytes overflows the stack.
inline constexpr std::size_t kMaximumJsonDepth = 100;

enum class JsonComments { kRefused, kIgnored };

// Stands for every item of an array in JsonLimits::text_path.
inline constexpr std::string_view kAnyItem = "[]";

// What a parsed text may hold. Each value takes up to some 150 bytes beside its
// own text, however short that is.
struct JsonLimits {
  // For documents, settings and rows of the table. Long lists of a document are
  // read in another way: ReadLongList.
  static constexpr std::size_t kDocumentValues = 65'536;
  // For a whole configuration of the platform, which only its operator writes.
  static constexpr std::size_t kConfigurationValues = 1'000'000;
  // For the lists of an upstream: some ten thousand tasks.
  static constexpr std::size_t kListValues = 262'144;
  // For what anyone else sends: messages have some hundred values at the most.
  static constexpr std::size_t kMessageValues = 16'384;

  // Arrays, objects, strings, numbers, booleans and nulls.
  std::size_t values = kDocumentValues;
  // The names on the way to values that are kept as text and count as one value
  // each: a string as it is, any other value as its JSON text without white
  // space. Names of members, and kAnyItem. Empty: none.
  std::span<const std::string_view> text_path = {};
  // Where such a text may be cut off if it is longer, so that what is left is
  // longer than this, too.
  std::size_t text_bytes = 0;
};

// Parses JSON from another process. Fails if it is malformed, not UTF-8, has a
// number beyond the range of a double, is nested too deeply or has too many
// values. Errors name the text by `source` and are fit for a log line. Time and
// memory are proportional to the text.
Result<nlohmann::json> ParseJson(std::string_view text,
                                 const std::string& source,
                                 JsonComments comments = JsonComments::kRefused,
                                 JsonLimits limits = {});

// The same for a message from a process or a client that may send anything.
Result<nlohmann::json> ParseMessage(
    std::string_view text, const std::string& source,
    JsonComments comments = JsonComments::kRefused);

// The same for the lists of an upstream.
Result<nlohmann::json> ParseLists(std::string_view text,
                                  const std::string& source);
// The same for a whole configuration of the platform.
Result<nlohmann::json> ParseConfiguration(std::string_view text,
                                          const std::string& source);

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
