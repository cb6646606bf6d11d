#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_VIEW_READING_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_VIEW_READING_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "libraries/agent_core/agent_events.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Decides how often an agent reads the view from the table. Entries that
// confirm its heartbeats send newer views. Without them the entries have
// probably been restarted, and join the view within a few hundred milliseconds,
// so the agent reads often at first, and less often the longer that lasts.
class ViewReading {
 public:
  explicit ViewReading(AgentId self)
      : spread_percent(static_cast<std::int64_t>(self.value() % 50)) {}

  // The pause before the next reading after one that has just finished.
  Duration NextPause(LeaseRenewal renewal) {
    if (renewal == LeaseRenewal::kAllowed) {
      this->pause = kShortestPause;
      return this->Spread(kLongestPause);
    }
    const Duration next = this->Spread(this->pause);
    this->pause = std::min(this->pause * 5 / 4, kLongestPause);
    return next;
  }

 private:
  static constexpr Duration kShortestPause = std::chrono::milliseconds(120);
  static constexpr Duration kLongestPause = std::chrono::seconds(1);
  // The agents' readings are spread, so that they don't all meet at the table
  // when the entries are lost.
  [[nodiscard]] Duration Spread(Duration base) const {
    constexpr std::int64_t kPercent = 100;
    return base + base * this->spread_percent / kPercent;
  }

  std::int64_t spread_percent;
  Duration pause = kShortestPause;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_VIEW_READING_H_
