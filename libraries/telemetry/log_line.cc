#include "libraries/telemetry/log_line.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include "libraries/protocol/parse_json.h"

namespace dandelionspur {

namespace {

// Longer values are cut.
constexpr std::size_t kMaximumFieldBytes = 1000;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

// Whether the byte stands for itself outside of quotes.
bool IsPlain(unsigned char byte) {
  return byte > kFirstPrintable && byte < kDelete && byte != '"' && byte != '=';
}

bool IsControl(unsigned char byte) {
  return byte < kFirstPrintable || byte == kDelete;
}

// Appends a byte as "\xff".
void AppendEscaped(unsigned char byte, std::string& text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 15;
  text.append("\\x");
  text.push_back(kDigits[byte >> kNibbleBits]);
  text.push_back(kDigits[byte & kNibbleMask]);
}

// `is_text`: the byte is part of a value that is UTF-8.
void AppendQuoted(unsigned char byte, bool is_text, std::string& text) {
  if (byte == '\n' || byte == '\r') {
    text.push_back(' ');
    return;
  }
  const bool is_readable = is_text || byte < kDelete;
  if (IsControl(byte) || !is_readable) {
    AppendEscaped(byte, text);
    return;
  }
  if (byte == '"' || byte == '\\') text.push_back('\\');
  text.push_back(static_cast<char>(byte));
}

}  // namespace

std::string Quoted(std::string_view value) {
  const bool is_short = !value.empty() && value.size() <= kMaximumFieldBytes;
  if (is_short && std::all_of(value.begin(), value.end(), IsPlain)) {
    return std::string(value);
  }
  const std::string_view shown = value.substr(0, kMaximumFieldBytes);
  const bool is_text = IsUtf8(shown);
  std::string quoted = "\"";
  for (const char character : shown) {
    AppendQuoted(static_cast<unsigned char>(character), is_text, quoted);
  }
  if (shown.size() < value.size()) quoted.append("...");
  return quoted + "\"";
}

std::string TimeText(Timestamp time) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count();
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const std::time_t seconds = milliseconds / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  constexpr std::size_t kTextSize = 40;
  std::array<char, kTextSize> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction =
      std::to_string(milliseconds % kMillisecondsPerSecond +
                     kMillisecondsPerSecond)
          .substr(1);
  return std::string(text.data(), length) + "." + fraction + "Z";
}

}  // namespace dandelionspur
