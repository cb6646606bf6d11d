#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OUTAGE_RECORD_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OUTAGE_RECORD_H_

#include <algorithm>
#include <map>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// How long upstreams stay down, and when those that are down now are expected
// to return.
class OutageRecord {
 public:
  void Observe(AgentId agent, bool usable, Timestamp now) {
    const auto found = this->down_since.find(agent);
    if (!usable) {
      if (found == this->down_since.end()) this->down_since[agent] = now;
      return;
    }
    if (found == this->down_since.end()) return;
    const Duration outage = std::min(now - found->second, kLongestOutage);
    this->average += (outage - this->average) / kAverageOver;
    this->down_since.erase(found);
  }
  void Forget() { this->down_since.clear(); }
  // 0 if the upstream is up.
  [[nodiscard]] Duration UntilUsable(AgentId agent, Timestamp now) const {
    const auto found = this->down_since.find(agent);
    if (found == this->down_since.end()) return {};
    // One that has been down for longer than usual may return at any time.
    return std::max(kShortestWait, found->second + this->average - now);
  }

 private:
  static constexpr Duration kTypicalOutage = std::chrono::seconds(3);
  static constexpr Duration kLongestOutage = std::chrono::seconds(30);
  static constexpr Duration kShortestWait = std::chrono::milliseconds(200);
  // The number of outages that the average covers.
  static constexpr std::int64_t kAverageOver = 4;

  std::map<AgentId, Timestamp> down_since;
  Duration average = kTypicalOutage;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OUTAGE_RECORD_H_
