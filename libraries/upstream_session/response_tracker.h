#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_RESPONSE_TRACKER_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_RESPONSE_TRACKER_H_

#include <chrono>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/upstream_session/list_number.h"

namespace dandelionspur {

// When an upstream has last answered a call, and the first call that it has not
// answered since.
class ResponseTracker {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  void RecordAnswer(SteadyTime now);
  // Counts silence from now on. Call this before calls that follow a time
  // without any.
  void RestartSilence(SteadyTime now) { this->last_answer = now; }
  // Records a call that the upstream did not answer. `next_list`: the list
  // request that will be sent next. Returns true for the first such call since
  // the latest answer.
  bool RecordFailure(ListNumber next_list, SteadyTime now);

  // Whether the upstream has not answered for so long that it counts as
  // unresponsive.
  [[nodiscard]] bool IsUnresponsive(SteadyTime now) const;
  // Whether the list request was sent after a call that was not answered.
  [[nodiscard]] bool IsAfterFailure(ListNumber number) const {
    return this->failure && number >= this->failure->next_list;
  }
  // The time since the first call without an answer; 0 if there is none.
  [[nodiscard]] Duration FailureAge(SteadyTime now) const;

 private:
  struct Failure {
    SteadyTime failed_at;
    // The first list request that was sent after it.
    ListNumber next_list;
  };

  SteadyTime last_answer;
  std::optional<Failure> failure;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_RESPONSE_TRACKER_H_
