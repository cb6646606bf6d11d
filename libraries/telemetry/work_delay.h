#ifndef DANDELIONSPUR_LIBRARIES_TELEMETRY_WORK_DELAY_H_
#define DANDELIONSPUR_LIBRARIES_TELEMETRY_WORK_DELAY_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "libraries/base/time.h"

namespace dandelionspur {

// Whether a process handles its work in time.
enum class Pace { kInTime, kBehind };

// The process began to be behind, or has caught up.
struct PaceChange {
  Pace pace = Pace::kInTime;
  // The delay that decided.
  Duration delay{};
  // The longest since the process fell behind.
  Duration longest{};
};

// How far a process is behind with its own work: how long events wait between
// their arrival in the process and their turn, and how late its timers are.
// The latter also shows work that still waits in the kernel, and a process
// that gets no processor time.
class WorkDelay {
 public:
  // An event's turn came after `waited`.
  void NoteWait(Duration waited) {
    this->total += waited;
    ++this->events;
  }
  // Ends an interval with a timer that was `lateness` late. Returns the
  // interval's delay: the mean wait, or the lateness where that is longer.
  Duration EndInterval(Duration lateness) {
    const Duration mean =
        this->events == 0 ? Duration() : this->total / this->events;
    this->total = Duration();
    this->events = 0;
    return std::max(mean, lateness);
  }

 private:
  Duration total{};
  std::int64_t events = 0;
};

// Tells when a process falls behind and when it has caught up again.
class PaceWatch {
 public:
  // Call at the end of each interval.
  std::optional<PaceChange> Observe(Duration delay) {
    this->longest = std::max(this->longest, delay);
    const bool behind = this->pace == Pace::kBehind;
    const bool stays = behind ? delay > kCaughtUpBelow : delay < kBehindFrom;
    if (stays) {
      if (!behind) this->longest = Duration();
      return std::nullopt;
    }
    this->pace = behind ? Pace::kInTime : Pace::kBehind;
    const Duration most =
        behind ? std::exchange(this->longest, Duration()) : this->longest;
    return PaceChange{this->pace, delay, most};
  }

 private:
  // A job passes four queues on its way; callers notice a delay like this.
  static constexpr Duration kBehindFrom = std::chrono::milliseconds(100);
  static constexpr Duration kCaughtUpBelow = std::chrono::milliseconds(25);

  Pace pace = Pace::kInTime;
  Duration longest{};
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_TELEMETRY_WORK_DELAY_H_
