#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_GROUPS_AT_UPSTREAM_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_GROUPS_AT_UPSTREAM_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "libraries/base/identifiers.h"

namespace dandelionspur {

// The groups whose tasks an entry believes to run at one upstream: those of its
// own outstanding tasks, and those of the agent's latest report.
class GroupsAtUpstream {
 public:
  void NoteStarted(JobGroupId group) { ++this->own[group]; }
  void NoteEnded(JobGroupId group);
  void NoteReported(const std::vector<JobGroupId>& groups) {
    this->reported = groups;
  }
  // Whether a group runs there for which the condition holds.
  template <typename Condition>
  [[nodiscard]] bool AnyOf(const Condition& condition) const {
    return std::any_of(this->reported.begin(), this->reported.end(),
                       condition) ||
           std::any_of(this->own.begin(), this->own.end(),
                       [&](const auto& item) { return condition(item.first); });
  }

 private:
  // The number of this entry's tasks of each group.
  std::map<JobGroupId, std::uint32_t> own;
  std::vector<JobGroupId> reported;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_GROUPS_AT_UPSTREAM_H_
