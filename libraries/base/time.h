#ifndef DANDELIONSPUR_LIBRARIES_BASE_TIME_H_
#define DANDELIONSPUR_LIBRARIES_BASE_TIME_H_

#include <chrono>

namespace dandelionspur {

using Duration = std::chrono::microseconds;
// Microseconds since the Unix epoch.
using Timestamp = std::chrono::sys_time<std::chrono::microseconds>;

// The most by which the clocks of two processes may differ. Comparisons of
// times that were taken in different processes allow for it.
inline constexpr Duration kClockSkewLimit = std::chrono::seconds(2);

// The time of day as it was when this was first called, carried on by a clock
// that never steps and counts the time in which the instance was suspended. So
// a step of the time of day ends no deadline, lease or silence early.
Timestamp WallClockNow();

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_TIME_H_
