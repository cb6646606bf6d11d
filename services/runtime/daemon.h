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
  // The other entries removed this process from the view; it must restart as a
  // new incarnation.
  kRemoved = 4,
  // An error after which the state of this process can't be trusted.
  kBroken = 5,
};

struct DaemonCommand {
  std::string settings_path;
  bool check_only = false;
};

// Parses a daemon's command line. For --help, --version and invalid arguments,
// prints the text or the error and exits the process.
DaemonCommand ParseDaemonCommand(const std::string& program,
                                 const std::string& description,
                                 int argument_count, char** arguments);

// Returns the id of a new incarnation of a process: increases with the start
// time in milliseconds, and is never 0.
std::uint64_t NewIncarnation();

// Runs the main thread of a daemon: handles signals and returns an exit code.
class Lifetime {
 public:
  // Catches signals from now on. One that arrives while Run() isn't running
  // takes effect at its next call.
  static void CatchSignals();
  // Calls `stop` once on SIGTERM or SIGINT; a further such signal kills the
  // process. Calls `reload` on each SIGHUP and once a second, so that changed
  // settings are noticed without a signal. Returns when Finish() is called; may
  // be called again after that.
  static void Run(const std::function<void()>& stop,
                  const std::function<void()>& reload);
  // Whether SIGTERM or SIGINT has come. Must not be called during Run().
  static bool IsStopRequested();
  // Makes Run() return. Safe from any thread.
  static void Finish(ExitCode code);
  // Calls `report` and Finish() after `time` unless Run() has returned by then.
  // Runs on the main thread, so that a server with blocked threads can't delay
  // it. Safe from any thread during Run().
  static void FinishAfter(std::chrono::microseconds time, ExitCode code,
                          std::function<void()> report);
  static ExitCode Result();
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_DAEMON_H_
