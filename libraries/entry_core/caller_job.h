#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CALLER_JOB_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CALLER_JOB_H_

#include <vector>

#include "libraries/entry_core/home_job.h"

namespace dandelionspur {

// A job that callers of this entry wait for and whose home is not, or no
// longer, this entry.
struct CallerJob {
  JobSubmission submission;
  Timestamp deadline;
  std::vector<RequestId> callers;
  EarlierRelays earlier = EarlierRelays::kSettled;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CALLER_JOB_H_
