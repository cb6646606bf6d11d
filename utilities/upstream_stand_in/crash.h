#ifndef DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_CRASH_H_
#define DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_CRASH_H_

#include <cstdlib>

namespace dandelionspur {

// Ends the process without notice, as a task that crashes its upstream does.
[[noreturn]] inline void Crash() {
  constexpr int kCrashExitCode = 70;
  std::_Exit(kCrashExitCode);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_CRASH_H_
