#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_NEIGHBOUR_RECORD_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_NEIGHBOUR_RECORD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// When the tasks of each group ran at an upstream, for the last seconds.
class NeighbourRecord {
 public:
  void NoteStarted(JobGroupId group, Timestamp now);
  void NoteEnded(JobGroupId group, Timestamp now);

  // The groups that run now, in the order of their ids; at most
  // kMaximumReportedGroups.
  [[nodiscard]] std::vector<JobGroupId> Running() const;
  // The groups other than `group` that ran for at least half of the time from
  // `began` to `now`, longest first; at most kMaximumNeighbours.
  [[nodiscard]] std::vector<JobGroupId> Beside(JobGroupId group,
                                               Timestamp began,
                                               Timestamp now) const;

 private:
  struct Present {
    std::uint32_t tasks = 0;
    Timestamp since;
  };
  // A time in which tasks of the group ran without a break.
  struct Period {
    JobGroupId group;
    Timestamp began;
    Timestamp ended;
  };

  void Forget(Timestamp now);

  std::map<JobGroupId, Present> present;
  // In the order of their ends.
  std::deque<Period> past;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_NEIGHBOUR_RECORD_H_
