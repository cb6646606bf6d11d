#include "services/entry/waiting_callers.h"

#include <utility>

#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {

RequestId WaitingCallers::Add(const JobSubmission& job,
                              AnswerCallback callback) {
  const RequestId request(++this->last_request);
  this->callers.emplace(request,
                        Caller{std::move(callback), job.name, job.service});
  return request;
}

void WaitingCallers::Answer(RequestId request, const JobAnswer& answer) {
  const auto found = this->callers.find(request);
  if (found == this->callers.end()) return;
  const AnswerCallback callback = std::move(found->second.callback);
  this->callers.erase(found);
  callback(answer);
}

void WaitingCallers::CutShort(const JobAnswer& answer) {
  const std::map<RequestId, Caller> unanswered =
      std::exchange(this->callers, {});
  for (const auto& [request, caller] : unanswered) {
    LogEvent(
        LogCategory::kFailure,
        RequestCutShort{caller.job, caller.service.value(), answer.reason});
    caller.callback(answer);
  }
}

}  // namespace dandelionspur
