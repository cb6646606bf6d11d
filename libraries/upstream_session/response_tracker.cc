#include "libraries/upstream_session/response_tracker.h"

namespace dandelionspur {
namespace {

// Without an answer for this long, the upstream counts as unresponsive: the
// agent accepts no new tasks for it, and does not renew the lease, so that the
// running tasks must stop when it expires.
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(600);

}  // namespace

void ResponseTracker::RecordAnswer(SteadyTime now) {
  this->last_answer = now;
  this->failure.reset();
}

bool ResponseTracker::RecordFailure(ListNumber next_list, SteadyTime now) {
  if (this->failure) return false;
  this->failure = Failure{now, next_list};
  return true;
}

bool ResponseTracker::IsUnresponsive(SteadyTime now) const {
  return now - this->last_answer > kUnresponsiveAfter;
}

Duration ResponseTracker::FailureAge(SteadyTime now) const {
  if (!this->failure) return {};
  return std::chrono::duration_cast<Duration>(now - this->failure->failed_at);
}

}  // namespace dandelionspur
