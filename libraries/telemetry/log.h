#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace dandelionspur {

// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;
};

// Sets up logging to standard error. Call once, before any thread starts.
void InitializeLogging(const std::string& program);

// Writes one line "event=NAME key=value ..." for a change of state. What
// happens per request is counted, not logged.
void LogStateChange(std::string_view event,
                    std::initializer_list<LogField> fields);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_
