#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOCAL_HEALTH_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOCAL_HEALTH_H_

#include <chrono>

#include "libraries/base/time.h"

namespace dandelionspur {

// How well this entry keeps up with its own events. An entry that was away, or
// is late, reads late what others sent in time, and must not take that for
// their silence: Lifeguard's local health (Dadgar, Phillips, Currey: Lifeguard:
// Local Health Awareness for More Accurate Failure Detection, 2018).
class LocalHealth {
 public:
  // Records that an event is handled at `now`. Returns for how long before this
  // entry handled none though a timer was due; zero if it kept up.
  Duration NoteEvent(Timestamp now) {
    const Duration gap =
        this->last_event == Timestamp() ? Duration() : now - this->last_event;
    this->last_event = now;
    if (gap <= kLongestIdle) return {};
    this->kept_up_since = now;
    return gap;
  }
  // Records the delay with which messages of other entries are handled.
  void NoteDelay(Duration delay, Timestamp now) {
    if (delay > Duration()) this->kept_up_since = now;
  }
  // For how long this entry has handled all events in time.
  [[nodiscard]] Duration KeptUpFor(Timestamp now) const {
    return now - this->kept_up_since;
  }

 private:
  // A timer is due several times within this time, even if no message comes.
  static constexpr Duration kLongestIdle = std::chrono::milliseconds(200);

  Timestamp last_event;
  Timestamp kept_up_since;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOCAL_HEALTH_H_
