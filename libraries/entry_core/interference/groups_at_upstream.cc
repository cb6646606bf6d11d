#include "libraries/entry_core/interference/groups_at_upstream.h"

namespace dandelionspur {

void GroupsAtUpstream::NoteEnded(JobGroupId group) {
  const auto found = this->own.find(group);
  if (found == this->own.end()) return;
  if (--found->second == 0) this->own.erase(found);
}

}  // namespace dandelionspur
