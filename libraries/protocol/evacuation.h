#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_EVACUATION_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_EVACUATION_H_

#include <algorithm>
#include <boost/describe.hpp>
#include <cstdint>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/strong_type.h"

namespace dandelionspur {

// The revision of the operators' table as of which a set of evacuated data
// centres is true; 0: nothing has been read.
using EvacuationVersion =
    StrongType<std::uint64_t, struct EvacuationVersionTag>;

// The data centres on whose upstreams no task may be started. Of two sets, the
// one with the higher version is the newer one.
struct EvacuationSet {
  EvacuationVersion version;
  // In ascending order.
  std::vector<DataCentreName> data_centres;

  [[nodiscard]] bool Contains(const DataCentreName& data_centre) const {
    return std::binary_search(this->data_centres.begin(),
                              this->data_centres.end(), data_centre);
  }
  bool operator==(const EvacuationSet&) const = default;
};
BOOST_DESCRIBE_STRUCT(EvacuationSet, (), (version, data_centres))

BOOST_DEFINE_ENUM_CLASS(EvacuationPhase, kBegun, kEnded)

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_EVACUATION_H_
