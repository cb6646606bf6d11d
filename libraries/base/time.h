#ifndef DANDELIONSPUR_LIBRARIES_BASE_TIME_H_
#define DANDELIONSPUR_LIBRARIES_BASE_TIME_H_

#include <chrono>

namespace dandelionspur {

using Duration = std::chrono::microseconds;
// Microseconds since the Unix epoch.
using Timestamp = std::chrono::sys_time<std::chrono::microseconds>;

// Largest permitted difference between the clocks of two processes.
// Comparisons of timestamps from different processes allow for it.
inline constexpr Duration kClockSkewLimit = std::chrono::seconds(2);

// The system time at the first call, plus the time elapsed since then on
// CLOCK_BOOTTIME, which never steps and includes time in suspension. A step of
// the system clock therefore ends no deadline, lease or heartbeat time-out
// early.
Timestamp WallClockNow();

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_TIME_H_
