#include "libraries/entry_core/evacuation/evacuations.h"

#include <algorithm>
#include <iterator>

namespace dandelionspur {
namespace {

std::vector<DataCentreName> OnlyIn(const std::vector<DataCentreName>& one,
                                   const std::vector<DataCentreName>& other) {
  std::vector<DataCentreName> result;
  std::set_difference(one.begin(), one.end(), other.begin(), other.end(),
                      std::back_inserter(result));
  return result;
}

}  // namespace

std::optional<EvacuationDifference> Evacuations::Adopt(
    const EvacuationSet& told) {
  if (!told.data_centres.empty()) this->has_seen_any = true;
  if (told.version <= this->newest.version) return std::nullopt;
  EvacuationSet next = told;
  // The order of names that come from another process isn't relied upon.
  std::sort(next.data_centres.begin(), next.data_centres.end());
  EvacuationDifference difference{
      OnlyIn(next.data_centres, this->newest.data_centres),
      OnlyIn(this->newest.data_centres, next.data_centres)};
  this->newest = std::move(next);
  const bool is_same = difference.begun.empty() && difference.ended.empty();
  return is_same ? std::nullopt : std::optional(std::move(difference));
}

std::optional<EvacuationSet> Evacuations::News() const {
  return this->has_seen_any ? std::optional(this->newest) : std::nullopt;
}

std::optional<EvacuationSet> Evacuations::NewsFor(
    EvacuationVersion version) const {
  if (version >= this->newest.version) return std::nullopt;
  // A process that knows some version has been told of an evacuation.
  const bool knows_any = version != EvacuationVersion();
  return knows_any ? std::optional(this->newest) : this->News();
}

}  // namespace dandelionspur
