#include "libraries/base/time.h"

#include <ctime>

namespace dandelionspur {
namespace {

// Time since the boot of the instance, including time in suspension.
Duration SinceBoot() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace

Timestamp WallClockNow() {
  static const Timestamp boot =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()) -
      SinceBoot();
  return boot + SinceBoot();
}

}  // namespace dandelionspur
