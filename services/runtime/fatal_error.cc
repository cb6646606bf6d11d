#include "services/runtime/fatal_error.h"

#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <string>

#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"
#include "services/runtime/daemon.h"

namespace dandelionspur {
namespace {

// The process is killed if the log's writer blocks for longer.
constexpr unsigned kEndTimeoutSeconds = 1;

std::string Reason(const std::exception_ptr& thrown) {
  if (thrown == nullptr) return "terminated without an exception";
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

[[noreturn]] void EndProcess() {
  alarm(kEndTimeoutSeconds);
  const ProcessBroken event{Reason(std::current_exception())};
  FinishLog();
  // Written directly, so that no other line can come after it.
  const std::string line = LogLine(LogProgram(), event, WallClockNow());
  const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
  // There is nowhere else to report a failed write.
  static_cast<void>(written);
  std::_Exit(static_cast<int>(ExitCode::kBroken));
}

}  // namespace

void EndProcessOnFatalErrors() { std::set_terminate(EndProcess); }

}  // namespace dandelionspur
