#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_TIMES_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_TIMES_H_

#include <algorithm>
#include <cstdint>

#include "libraries/base/time.h"

namespace dandelionspur {

// Lead times: how long before a caller's deadline each process decides on an
// answer if the job has not completed. Processes closer to the caller decide
// later, so that the most specific answer, that of the home, arrives first. The
// home is the entry that owns the bucket of the job's key.

// Longest delay until a decision, as decisions are made at ticks.
inline constexpr Duration kDecisionDelay = std::chrono::milliseconds(50);
// Time for an answer to get from one process to the next, or to the caller.
inline constexpr Duration kAnswerTransit = std::chrono::milliseconds(25);
// Time for the round of requests that confirms a refusal.
inline constexpr Duration kConfirmationTime = std::chrono::milliseconds(50);

// Lead of the entry that received the caller's request, if the home has not
// answered.
inline constexpr Duration kCallerAnswerLead = kDecisionDelay + kAnswerTransit;
// Lead of the home for a job that may have run.
inline constexpr Duration kHomeAnswerLead = kCallerAnswerLead + kAnswerTransit;
// Lead of the home for a job that has not been started, as its refusal is
// confirmed first.
inline constexpr Duration kRefusalLead = kHomeAnswerLead + kConfirmationTime;

// The time to decide by. If `time_allowed` is short, the lead is reduced in
// proportion to it.
[[nodiscard]] constexpr Timestamp DecideBy(Timestamp deadline,
                                           Duration time_allowed,
                                           Duration lead) {
  // The time allowed is at least this multiple of the reduced kRefusalLead.
  constexpr std::int64_t kMinimumTimeToLeadRatio = 4;
  const Duration scaled = time_allowed * lead.count() /
                          (kRefusalLead.count() * kMinimumTimeToLeadRatio);
  return deadline - std::min(lead, scaled);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_TIMES_H_
