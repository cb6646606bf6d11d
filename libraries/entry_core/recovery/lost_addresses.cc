#include "libraries/entry_core/recovery/lost_addresses.h"

#include <algorithm>

namespace dandelionspur {

bool LostAddresses::HasOtherAgent(const KnownAgent& agent) const {
  const Endpoint& address = agent.description->admin_endpoint;
  const auto& all = this->agents.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    const KnownAgent& other = item.second;
    return other.agent != agent.agent && other.description && !other.lost_at &&
           other.description->admin_endpoint == address;
  });
}

}  // namespace dandelionspur
