#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/telemetry/line_budget.h"
#include "libraries/telemetry/log_line.h"

namespace dandelionspur {

struct LogSettings {
  // Lines beyond this are counted instead; 0 writes none.
  std::uint32_t lines_per_second = 0;
  // Of a thousand jobs, how many are followed although nothing is wrong with
  // them; the same ones in every process.
  std::uint32_t jobs_followed_per_thousand = 0;
  auto operator<=>(const LogSettings&) const = default;
};

// What has become of the log's lines so far.
struct LogCounts {
  std::uint64_t written = 0;
  // Over the budget.
  std::uint64_t left_out = 0;
  // Batches of lines thrown away since nobody read standard output.
  std::uint64_t lost_batches = 0;
};

// Sets up logging to standard output. Call once, before any thread starts. A
// writer of its own takes the lines, so that an output that nobody reads costs
// lines, but never holds anybody up.
void InitializeLogging(const std::string& program);
void ConfigureLogging(const LogSettings& settings);
// Passes what was collected to the writer; call some times a second.
void FlushLog();
// Gives the writer a short time to write the last lines.
void FinishLog();
[[nodiscard]] LogCounts CountLog();

// The parts of LogEvent; for those who keep events back, any thread.
[[nodiscard]] std::string_view LogProgram();
bool AdmitLines(LineClass line_class, std::string_view kind, std::size_t count,
                Timestamp now);
void AppendLines(const std::string& lines, std::size_t count);

// Logs one event, if the budget allows. Any thread.
template <typename E>
void LogEvent(LineClass line_class, const E& event,
              Timestamp now = WallClockNow()) {
  if (!AdmitLines(line_class, E::kName, 1, now)) return;
  AppendLines(LogLine(LogProgram(), event, now), 1);
}

// Logs a change of what this process is or believes.
template <typename E>
void LogChange(const E& event) {
  LogEvent(LineClass::kBelief, event);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_LOG_H_
