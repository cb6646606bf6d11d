#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_LINE_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_LINE_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "libraries/base/enum_name.h"
#include "libraries/base/strong_type.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Quotes a value that is empty or contains characters that would break the
// line's field=value format. Line breaks become spaces; bytes that are no
// printable text are escaped as "\xff". A value above 1000 bytes is cut.
std::string Quoted(std::string_view value);
// Formats a time in UTC, such as "2026-12-04T09:00:00.123Z".
std::string TimeText(Timestamp time);

// Formats a value for a log line. Durations are in milliseconds without a
// fraction; the names of their fields end in "_ms".
template <typename T>
std::string FieldText(const T& value) {
  if constexpr (IsStrongType<T>::value) {
    return FieldText(value.value());
  } else if constexpr (std::is_same_v<T, Duration>) {
    constexpr std::int64_t kMicroseconds = 1000;
    return std::to_string(value.count() / kMicroseconds);
  } else if constexpr (std::is_same_v<T, Timestamp>) {
    return TimeText(value);
  } else if constexpr (std::is_same_v<T, bool>) {
    return value ? "yes" : "no";
  } else if constexpr (std::is_enum_v<T>) {
    return std::string(EnumName(value));
  } else if constexpr (std::is_arithmetic_v<T>) {
    return std::to_string(value);
  } else {
    return Quoted(value);
  }
}

// Formats an event as a line "time=... program=... event=NAME field=value ...".
// E must be a described struct; NAME is `E::kName`.
template <typename E>
std::string LogLine(std::string_view program, const E& event, Timestamp at) {
  std::string line = "time=" + TimeText(at);
  line.append(" program=").append(program);
  line.append(" event=").append(E::kName);
  boost::mp11::mp_for_each<
      boost::describe::describe_members<E, boost::describe::mod_public>>(
      [&](auto member) {
        line.append(" ").append(member.name).append("=");
        line.append(FieldText(event.*member.pointer));
      });
  line.push_back('\n');
  return line;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_LINE_H_
