#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_TIMES_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_TIMES_H_

#include <algorithm>
#include <cstdint>

#include "libraries/base/time.h"

namespace dandelionspur {

// How long before a caller's deadline an answer is decided that can't wait
// any longer. Each process leaves room for those that come after it, so that
// the most telling answer arrives first.

// Until the decision, which is made at a tick.
inline constexpr Duration kDecisionDelay = std::chrono::milliseconds(50);
// From one process to the next, or to the caller.
inline constexpr Duration kAnswerWay = std::chrono::milliseconds(25);
// A round of questions that proves a refusal.
inline constexpr Duration kConfirmationTime = std::chrono::milliseconds(50);

// The entry that the caller waits at, if the home has not answered.
inline constexpr Duration kCallerAnswerLead = kDecisionDelay + kAnswerWay;
// The home, of a job that may have run.
inline constexpr Duration kHomeAnswerLead = kCallerAnswerLead + kAnswerWay;
// The home, of a job that has not been started.
inline constexpr Duration kRefusalLead = kHomeAnswerLead + kConfirmationTime;

// When to decide by. Of a short time the lead takes a part only.
[[nodiscard]] constexpr Timestamp DecideBy(Timestamp deadline,
                                           Duration time_allowed,
                                           Duration lead) {
  // kRefusalLead is at most this part of the time allowed.
  constexpr std::int64_t kLargestPart = 4;
  const Duration scaled =
      time_allowed * lead.count() / (kRefusalLead.count() * kLargestPart);
  return deadline - std::min(lead, scaled);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_TIMES_H_
