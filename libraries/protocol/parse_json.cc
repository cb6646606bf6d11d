#include "libraries/protocol/parse_json.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <utility>

namespace dandelionspur {
namespace {

using nlohmann::json;

// Thrown to stop the parser, which has no limit of its own.
class NestedTooDeeply : public std::exception {
 public:
  [[nodiscard]] const char* what() const noexcept override {
    return "nested too deeply";
  }
};

// `depth` is the number of arrays and objects around the value.
bool CheckDepth(int depth, json::parse_event_t event, json& /*value*/) {
  const bool opens = event == json::parse_event_t::object_start ||
                     event == json::parse_event_t::array_start;
  if (opens && std::cmp_greater_equal(depth, kMaximumJsonDepth)) {
    throw NestedTooDeeply();
  }
  return true;
}

}  // namespace

Result<json> ParseJson(std::string_view text, const std::string& source,
                       JsonComments comments) {
  const bool ignores_comments = comments == JsonComments::kIgnored;
  // The parser checks strings but not comments.
  if (ignores_comments && !IsUtf8(text)) {
    return Fail(source + ": not valid JSON: not UTF-8");
  }
  try {
    return json::parse(text, CheckDepth, true, ignores_comments);
  } catch (const json::exception& exception) {
    return Fail(
        BoundedMessage(source + ": not valid JSON: " + exception.what()));
  } catch (const NestedTooDeeply& exception) {
    return Fail(source + ": not valid JSON: " + exception.what());
  }
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
