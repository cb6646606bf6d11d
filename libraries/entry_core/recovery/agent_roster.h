#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RECOVERY_AGENT_ROSTER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RECOVERY_AGENT_ROSTER_H_

#include <set>
#include <vector>

#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

// Tells an entry that has joined when it knows every agent that may be running
// tasks. Each agent writes its address to the table before it reads a view, so
// an agent that is not listed there once this entry is a member must register
// with this entry before it becomes ready. An address is accounted for once its
// present agent has shown that no task of an earlier agent is running there.
// docs/design/recovery-of-all.md has the argument.
class AgentRoster {
 public:
  // Records the addresses that were in the table at some time after this entry
  // had become a member of the view. Only the first list counts.
  void NoteListed(const std::vector<Endpoint>& addresses);
  // Records that the present agent at the address has registered, or that it
  // has no upstream and that the leases of earlier agents there have expired.
  // Returns whether the roster is complete now and was not before.
  bool NoteAccounted(const Endpoint& address);
  // Whether all listed addresses are accounted for. Stays true: an agent that
  // starts later must register with this entry before it becomes ready.
  [[nodiscard]] bool IsComplete() const {
    return this->is_listed && this->missing.empty();
  }

 private:
  bool is_listed = false;
  std::set<Endpoint> accounted;
  std::set<Endpoint> missing;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_RECOVERY_AGENT_ROSTER_H_
