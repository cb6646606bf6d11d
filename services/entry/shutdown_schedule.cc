#include "services/entry/shutdown_schedule.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Margins before the process would be killed, for the last answers, for the
// recording and for the exit itself, which take longer on a busy processor.
constexpr std::chrono::milliseconds kAnswerMargin{1000};
constexpr std::chrono::milliseconds kExitMargin{700};
constexpr std::chrono::milliseconds kUnansweredExitMargin{400};

std::optional<ShutdownStep> StepAfter(ShutdownStep step) {
  switch (step) {
    case ShutdownStep::kCloseCallers:
      return ShutdownStep::kAnswerCallers;
    case ShutdownStep::kAnswerCallers:
      return ShutdownStep::kExit;
    case ShutdownStep::kExit:
      return ShutdownStep::kExitUnanswered;
    case ShutdownStep::kExitUnanswered:
      break;
  }
  return std::nullopt;
}

}  // namespace

ShutdownSchedule::ShutdownSchedule(Time begin, Duration accepts,
                                   Duration stop_within)
    : callers_close(begin + accepts),
      answers_due(
          std::max(this->callers_close, begin + stop_within - kAnswerMargin)),
      exit_due(
          std::max(this->callers_close, begin + stop_within - kExitMargin)),
      unanswered_exit_due(std::max(
          this->callers_close, begin + stop_within - kUnansweredExitMargin)) {}

std::optional<ShutdownStep> ShutdownSchedule::TakeDue(Time now) {
  if (!this->next || now < this->DueAt(*this->next)) return std::nullopt;
  const ShutdownStep due = *this->next;
  this->next = StepAfter(due);
  return due;
}

std::optional<ShutdownSchedule::Time> ShutdownSchedule::NextDue() const {
  if (!this->next) return std::nullopt;
  return this->DueAt(*this->next);
}

ShutdownSchedule::Time ShutdownSchedule::DueAt(ShutdownStep step) const {
  switch (step) {
    case ShutdownStep::kCloseCallers:
      return this->callers_close;
    case ShutdownStep::kAnswerCallers:
      return this->answers_due;
    case ShutdownStep::kExit:
      return this->exit_due;
    case ShutdownStep::kExitUnanswered:
      break;
  }
  return this->unanswered_exit_due;
}

}  // namespace dandelionspur
