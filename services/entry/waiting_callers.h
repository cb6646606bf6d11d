#ifndef DANDELIONSPUR_SERVICES_ENTRY_WAITING_CALLERS_H_
#define DANDELIONSPUR_SERVICES_ENTRY_WAITING_CALLERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "libraries/base/identifiers.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

using AnswerCallback = std::function<void(const JobAnswer&)>;

// The requests of callers that were passed to the core and are not answered
// yet.
class WaitingCallers {
 public:
  // Adds a request. `callback` is invoked exactly once.
  RequestId Add(const JobSubmission& job, AnswerCallback callback);
  // Does nothing if the request has been answered before.
  void Answer(RequestId request, const JobAnswer& answer);
  // Answers all requests because the process ends before the core decides.
  void CutShort(const JobAnswer& answer);
  [[nodiscard]] std::size_t size() const { return this->callers.size(); }

 private:
  struct Caller {
    AnswerCallback callback;
    std::string job;
    ServiceName service;
  };

  std::map<RequestId, Caller> callers;
  std::uint64_t last_request = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_WAITING_CALLERS_H_
