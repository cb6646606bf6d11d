#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_PREVIEW_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_PREVIEW_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/resources.h"
#include "libraries/base/time.h"
#include "libraries/base/verdict.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

// What placement makes of one upstream for a task. All but the first two say
// why the upstream is passed over. kOther: for a reason that has no value here.
BOOST_DEFINE_ENUM_CLASS(CandidateVerdict, kChosen, kCandidate, kLost,
                        kDisconnected, kRegistering, kLeaving, kNotAccepting,
                        kSilent, kPaused, kOnProbation, kFull, kQuarantine,
                        kInterference, kEvacuated, kKeptFree, kOther)

struct CandidatePreview {
  AgentId agent;
  CandidateVerdict verdict = CandidateVerdict::kOther;
  Resources taken;
  Resources capacity;
  double slowness = 1;
  // The time since the agent was last heard of.
  Duration report_age{};
};

// What placement decides for the next task of a job.
struct PlacementPreview {
  PlacementReason reason = PlacementReason::kFastestFree;
  PlacementScope scope = PlacementScope::kOrdinary;
  // Not set if no upstream has room.
  std::optional<AgentId> chosen;
  std::vector<CandidatePreview> candidates;
};

// What would become of a job that was submitted now.
// kElsewhere: another entry decides. kHomeUnknown: no entry is known to.
BOOST_DEFINE_ENUM_CLASS(JobOutlook, kStarts, kWaits, kRefused, kElsewhere,
                        kHomeUnknown, kKnownKey)

struct JobPreview {
  JobOutlook outlook = JobOutlook::kHomeUnknown;
  // Set if another entry is the home.
  std::optional<EntryId> home;
  // Meaningful if the job would be refused.
  Reason refusal = Reason::kComplete;
  Duration retry_after{};
  std::uint32_t queued_tasks = 0;
  // From now until the first task starts, and until the last one ends if each
  // starts then.
  Duration expected_start{};
  Duration expected_end{};
  PlacementPreview placement;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_PREVIEW_H_
