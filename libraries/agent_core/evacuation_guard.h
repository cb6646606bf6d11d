#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_EVACUATION_GUARD_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_EVACUATION_GUARD_H_

#include <algorithm>
#include <optional>
#include <utility>

#include "libraries/protocol/evacuation.h"

namespace dandelionspur {

// Whether the data centre of an agent is evacuated, by the newest set that any
// entry has told it.
class EvacuationGuard {
 public:
  explicit EvacuationGuard(DataCentreName data_centre)
      : own(std::move(data_centre)) {}

  // Takes over a newer set; an older one is ignored. Returns what has changed
  // for the agent's own data centre, if anything has.
  std::optional<EvacuationPhase> Adopt(const EvacuationSet& told) {
    if (told.version <= this->version()) return std::nullopt;
    const bool was_evacuated = this->IsEvacuated();
    this->newest = told;
    // The order of names that come from another process isn't relied upon.
    std::sort(this->newest->data_centres.begin(),
              this->newest->data_centres.end());
    if (was_evacuated == this->IsEvacuated()) return std::nullopt;
    return was_evacuated ? EvacuationPhase::kEnded : EvacuationPhase::kBegun;
  }
  [[nodiscard]] bool IsEvacuated() const {
    return this->newest && this->newest->Contains(this->own);
  }
  // Nothing as long as no entry has told of an evacuation.
  [[nodiscard]] const std::optional<EvacuationSet>& known() const {
    return this->newest;
  }
  // 0 if nothing is known.
  [[nodiscard]] EvacuationVersion version() const {
    return this->newest ? this->newest->version : EvacuationVersion();
  }

 private:
  DataCentreName own;
  std::optional<EvacuationSet> newest;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_EVACUATION_GUARD_H_
