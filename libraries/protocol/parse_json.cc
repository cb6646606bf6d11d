#include "libraries/protocol/parse_json.h"

#include <algorithm>
#include <utility>

#include "libraries/protocol/json_builder.h"

namespace dandelionspur {

using nlohmann::json;

Result<json> ParseJson(std::string_view text, const std::string& source,
                       JsonComments comments, JsonLimits limits) {
  const bool ignores_comments = comments == JsonComments::kIgnored;
  // The parser checks strings but not comments.
  if (ignores_comments && !IsUtf8(text)) {
    return Fail(source + ": not valid JSON: not UTF-8");
  }
  constexpr bool kWholeText = true;
  JsonBuilder builder(limits);
  const bool is_valid = json::sax_parse(
      text, &builder, json::input_format_t::json, kWholeText, ignores_comments);
  if (is_valid) return builder.Take();
  return Fail(BoundedMessage(
      source + ": not valid JSON: " + builder.problem().value_or("malformed")));
}

Result<json> ParseMessage(std::string_view text, const std::string& source,
                          JsonComments comments) {
  return ParseJson(text, source, comments, {JsonLimits::kMessageValues});
}

Result<json> ParseLists(std::string_view text, const std::string& source) {
  return ParseJson(text, source, JsonComments::kRefused,
                   {JsonLimits::kListValues});
}

Result<json> ParseConfiguration(std::string_view text,
                                const std::string& source) {
  return ParseJson(text, source, JsonComments::kRefused,
                   {JsonLimits::kConfigurationValues});
}

bool IsUtf8(std::string_view bytes) {
  constexpr unsigned char kFirstBeyondAscii = 0x80;
  const bool is_ascii =
      std::all_of(bytes.begin(), bytes.end(),
                  [](unsigned char byte) { return byte < kFirstBeyondAscii; });
  if (is_ascii) return true;
  try {
    json(bytes).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

std::string DumpForDisplay(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string BoundedMessage(std::string_view message) {
  constexpr std::size_t kMaximumBytes = 300;
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastPrintable = '~';
  std::string bounded(message.substr(0, kMaximumBytes));
  for (char& character : bounded) {
    const bool is_printable =
        character >= kFirstPrintable && character <= kLastPrintable;
    if (!is_printable) character = '?';
  }
  if (message.size() > kMaximumBytes) bounded += "...";
  return bounded;
}

}  // namespace dandelionspur
