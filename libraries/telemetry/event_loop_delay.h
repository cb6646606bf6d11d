#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_EVENT_LOOP_DELAY_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_EVENT_LOOP_DELAY_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "libraries/base/time.h"

namespace dandelionspur {

// Whether a process keeps up with its events.
enum class LagState { kKeepingUp, kLagging };

// A process has fallen behind or has caught up.
struct LagChange {
  LagState state = LagState::kKeepingUp;
  // The delay that caused the change.
  Duration delay{};
  // The longest delay since the process fell behind.
  Duration longest{};
};

// Measures the delay of an event loop: how long events are queued between their
// arrival in the process and their handling, and how late the loop's timers
// run. Late timers also show events still queued in the kernel and a process
// that gets no processor time.
class EventLoopDelay {
 public:
  // Records that an event was queued for `waited` before it was handled.
  void RecordWait(Duration waited) {
    this->total_wait += waited;
    ++this->events;
  }
  // Ends an interval, at a timer that ran `lateness` late, and starts the next.
  // Returns the interval's delay: the mean wait of its events or `lateness`,
  // whichever is longer.
  Duration EndInterval(Duration lateness) {
    const Duration mean =
        this->events == 0 ? Duration() : this->total_wait / this->events;
    this->total_wait = Duration();
    this->events = 0;
    return std::max(mean, lateness);
  }

 private:
  Duration total_wait{};
  std::int64_t events = 0;
};

// Detects, with hysteresis, when a process falls behind and when it has caught
// up again.
class LagDetector {
 public:
  // Must be called with the delay of each interval. Returns a value when the
  // state changes.
  std::optional<LagChange> Observe(Duration delay) {
    this->longest = std::max(this->longest, delay);
    const bool behind = this->state == LagState::kLagging;
    const bool unchanged =
        behind ? delay > kCaughtUpThreshold : delay < kBehindThreshold;
    if (unchanged) {
      if (!behind) this->longest = Duration();
      return std::nullopt;
    }
    this->state = behind ? LagState::kKeepingUp : LagState::kLagging;
    const Duration longest_delay =
        behind ? std::exchange(this->longest, Duration()) : this->longest;
    return LagChange{this->state, delay, longest_delay};
  }

 private:
  // A job passes through four queues, so callers notice a delay of this size.
  static constexpr Duration kBehindThreshold = std::chrono::milliseconds(100);
  static constexpr Duration kCaughtUpThreshold = std::chrono::milliseconds(25);

  LagState state = LagState::kKeepingUp;
  Duration longest{};
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_EVENT_LOOP_DELAY_H_
