#ifndef DANDELIONSPUR_SERVICES_RUNTIME_DAEMON_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_DAEMON_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace dandelionspur {

// Exit codes of the daemons.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,
  kBadUsage = 2,
  kBadSettings = 3,
  // The others took this process out of the view; start it anew.
  kRemoved = 4,
};

struct DaemonCommand {
  std::string settings_path;
  bool check_only = false;
};

// Parses a daemon's command line. Prints help, the version or an error and
// exits the process where there is nothing to run.
DaemonCommand ParseDaemonCommand(const std::string& program,
                                 const std::string& description,
                                 int argument_count, char** arguments);

// An id for one incarnation of a process: grows with time, never 0.
std::uint64_t NewIncarnation();

// Calls `stop` once at SIGTERM or SIGINT; from then on these signals end the
// process. Calls `reload` at each SIGHUP, and often enough to notice changed
// settings without one. Returns when `Finish` is called from
// any thread; may be run again after that.
class Lifetime {
 public:
  static void Run(const std::function<void()>& stop,
                  const std::function<void()>& reload);
  static void Finish(ExitCode code);
  // Calls `Finish` after this time unless that has happened by then. Its
  // thread does nothing else, so this is not held up by a server that is.
  static void FinishAfter(std::chrono::microseconds time, ExitCode code);
  static ExitCode Result();
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_DAEMON_H_
