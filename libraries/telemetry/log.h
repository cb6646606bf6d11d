#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/telemetry/line_budget.h"
#include "libraries/telemetry/log_line.h"

namespace dandelionspur {

struct LogSettings {
  // Lines in excess of this rate are counted instead of written; 0 writes none.
  std::uint32_t lines_per_second = 0;
  // How many jobs per thousand are logged in detail although they have no
  // fault. All processes sample the same jobs.
  std::uint32_t jobs_followed_per_thousand = 0;
  auto operator<=>(const LogSettings&) const = default;
};

// Counts of written and lost log lines since the start of the process.
struct LogCounts {
  std::uint64_t written = 0;
  // Lines suppressed because they exceeded the budget.
  std::uint64_t suppressed = 0;
  // Batches of lines dropped because standard output was not read fast enough.
  std::uint64_t dropped_batches = 0;
};

// Sets up logging to standard output. Must be called once, before any thread
// starts. A separate thread writes the lines, so that if standard output is not
// read, lines are lost but no caller blocks.
void InitializeLogging(const std::string& program);
void ConfigureLogging(const LogSettings& settings);
// Passes the collected lines to the writer. Must be called several times per
// second.
void FlushLog();
// Flushes the log and waits up to about 200 ms for the writer to finish.
void FinishLog();
[[nodiscard]] LogCounts GetLogCounts();

// The steps of LogEvent, for callers that hold events back and log them later.
// May be called from any thread.
[[nodiscard]] std::string_view LogProgram();
bool AdmitLines(LogCategory log_category, std::string_view kind,
                std::size_t count, Timestamp now);
void AppendLines(const std::string& lines, std::size_t count);

// Logs one event if the budget allows. May be called from any thread.
template <typename E>
void LogEvent(LogCategory log_category, const E& event,
              Timestamp now = WallClockNow()) {
  if (!AdmitLines(log_category, E::kName, 1, now)) return;
  AppendLines(LogLine(LogProgram(), event, now), 1);
}

// Logs a change of this process's state or of its view of other processes.
template <typename E>
void LogStateChange(const E& event) {
  LogEvent(LogCategory::kBelief, event);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_
