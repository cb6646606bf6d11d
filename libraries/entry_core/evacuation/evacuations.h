#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EVACUATION_EVACUATIONS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EVACUATION_EVACUATIONS_H_

#include <optional>
#include <vector>

#include "libraries/protocol/evacuation.h"

namespace dandelionspur {

// The difference between two sets of evacuated data centres.
struct EvacuationDifference {
  std::vector<DataCentreName> begun;
  std::vector<DataCentreName> ended;
};

// The newest set of evacuated data centres that a process knows, from whomever
// it was told, and what the others are told of it.
class Evacuations {
 public:
  // Takes over a newer set; an older one is ignored. Returns the difference if
  // the data centres have changed.
  std::optional<EvacuationDifference> Adopt(const EvacuationSet& told);

  [[nodiscard]] const EvacuationSet& known() const { return this->newest; }
  [[nodiscard]] bool IsEvacuated(const DataCentreName& data_centre) const {
    return this->newest.Contains(data_centre);
  }
  // What to tell others; nothing as long as no evacuation was ever known.
  [[nodiscard]] std::optional<EvacuationSet> News() const;
  // What to tell a process that knows this version.
  [[nodiscard]] std::optional<EvacuationSet> NewsFor(
      EvacuationVersion version) const;

 private:
  EvacuationSet newest;
  // Whether anybody has told of an evacuation, also of one that has ended:
  // others may not know of its end.
  bool has_seen_any = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_EVACUATION_EVACUATIONS_H_
