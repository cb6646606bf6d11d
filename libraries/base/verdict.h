#ifndef DANDELIONSPUR_LIBRARIES_BASE_VERDICT_H_
#define DANDELIONSPUR_LIBRARIES_BASE_VERDICT_H_

#include <boost/describe.hpp>
#include <string_view>

namespace dandelionspur {

// Whether a request may have run.
BOOST_DEFINE_ENUM_CLASS(Verdict, kRan, kNotRun, kMayHaveRun)

// Why a request was answered, refused or retried. The set is closed: every
// answer, counter and record uses one of these reasons.
BOOST_DEFINE_ENUM_CLASS(
    Reason, kComplete, kTaskFailed, kDeadlineExceeded, kCancelled, kQueueFull,
    kQuotaExceeded, kUnknownService, kMalformedRequest, kKeyReused, kKeyExpired,
    kHistoryLost, kAgentLost, kUpstreamBroken, kUpstreamUnreachable,
    kHomeUnreachable, kImpossibleJob, kNotReady, kDraining,
    kRetryBudgetExhausted, kAnswerNotKept, kStaleBallot, kNoFreeSlot,
    kAgentLeaving, kAgentNotReady, kWrongIncarnation, kStartedSetFull,
    kAttemptRefused, kRenounced, kDeadlineTooShort, kNotFound, kUnsupportedJob,
    kOrderUnanswered, kContactLost, kTaskCrashesUpstreams, kDataCentreEvacuated)

// The external name of a reason: "queue_full" for kQueueFull.
std::string_view ReasonName(Reason reason);
// "ran", "not_run" or "may_have_run".
std::string_view VerdictName(Verdict verdict);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_VERDICT_H_
