#include "libraries/entry_core/recovery/agent_roster.h"

namespace dandelionspur {

void AgentRoster::NoteListed(const std::vector<Endpoint>& addresses) {
  if (this->is_listed) return;
  this->is_listed = true;
  for (const Endpoint& address : addresses) {
    if (!this->accounted.contains(address)) this->missing.insert(address);
  }
  this->accounted.clear();
}

bool AgentRoster::NoteAccounted(const Endpoint& address) {
  if (!this->is_listed) {
    this->accounted.insert(address);
    return false;
  }
  return this->missing.erase(address) > 0 && this->missing.empty();
}

}  // namespace dandelionspur
