#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EVACUATION_RETURN_RAMP_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EVACUATION_RETURN_RAMP_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "libraries/base/resources.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Limits what an upstream takes after its data centre was taken back: its
// caches are cold, and tasks that are slow at first shouldn't take all of it.
class ReturnRamp {
 public:
  // Whether a task of `need` may start this long after the return at an
  // upstream where `taken` of `capacity` is in use. An idle upstream takes any.
  [[nodiscard]] static bool Allows(Duration since_return,
                                   const Resources& taken,
                                   const Resources& need,
                                   const Resources& capacity) {
    if (since_return >= kRampTime || taken == Resources()) return true;
    const std::uint64_t wanted = taken.millicores + need.millicores;
    return wanted * kWhole <= capacity.millicores * ShareAfter(since_return);
  }

  static constexpr Duration kRampTime = std::chrono::seconds(2);

 private:
  // Shares are in thousandths.
  static constexpr std::uint64_t kWhole = 1000;
  static constexpr std::uint64_t kFirstShare = 250;

  static std::uint64_t ShareAfter(Duration since_return) {
    const Duration elapsed = std::max(since_return, Duration());
    const auto grown = static_cast<std::uint64_t>(
        elapsed.count() * static_cast<std::int64_t>(kWhole - kFirstShare) /
        kRampTime.count());
    return kFirstShare + grown;
  }
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EVACUATION_RETURN_RAMP_H_
