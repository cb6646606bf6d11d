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

inline Timestamp WallClockNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_TIME_H_
