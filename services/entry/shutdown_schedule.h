#ifndef DANDELIONSPUR_SERVICES_ENTRY_SHUTDOWN_SCHEDULE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_SHUTDOWN_SCHEDULE_H_

#include <boost/describe.hpp>
#include <chrono>
#include <optional>

#include "libraries/base/time.h"

namespace dandelionspur {

// The steps of a graceful shutdown, in order.
// kCloseCallers: no more connections of callers are accepted.
// kAnswerCallers: callers that still wait are answered that their jobs may have
// run, and no request is passed to the core any more.
// kExit: the process exits once all answers are written and the connections of
// callers are closed.
// kExitUnanswered: the process exits, whatever is unfinished.
BOOST_DEFINE_ENUM_CLASS(ShutdownStep, kCloseCallers, kAnswerCallers, kExit,
                        kExitUnanswered)

// When the steps of a graceful shutdown are due. Owns no timer: whoever handles
// an event asks it first, so that a step is not delayed by the events that
// are queued before a timer's.
class ShutdownSchedule {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Callers are accepted for `accepts` from `begin` on; the process is killed
  // after `stop_within`.
  ShutdownSchedule(Time begin, Duration accepts, Duration stop_within);

  // Returns the next step if it is due, and moves on to the one after it.
  std::optional<ShutdownStep> TakeDue(Time now);
  // When the next step is due; nothing after the last one.
  [[nodiscard]] std::optional<Time> NextDue() const;
  // Whether a request that takes `time` from `now` on is answered before
  // kAnswerCallers is due.
  [[nodiscard]] bool CanAnswerWithin(Duration time, Time now) const {
    return now + time < this->answers_due;
  }

 private:
  [[nodiscard]] Time DueAt(ShutdownStep step) const;

  Time callers_close;
  Time answers_due;
  Time exit_due;
  Time unanswered_exit_due;
  // Nothing after the last step.
  std::optional<ShutdownStep> next = ShutdownStep::kCloseCallers;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_SHUTDOWN_SCHEDULE_H_
