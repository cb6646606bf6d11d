#include "libraries/telemetry/log_line.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace dandelionspur {

std::string Quoted(std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"\n\r=") == std::string::npos;
  if (plain) return std::string(value);
  std::string quoted = "\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') quoted.push_back('\\');
    const bool is_line_break = character == '\n' || character == '\r';
    quoted.push_back(is_line_break ? ' ' : character);
  }
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
