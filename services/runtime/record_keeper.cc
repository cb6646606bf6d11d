#include "services/runtime/record_keeper.h"

namespace dandelionspur {

void CountRecords(Metrics& metrics, std::uint64_t lost, std::size_t unsent) {
  metrics.Set("records_lost", static_cast<double>(lost));
  metrics.Set("record_segments_unsent", static_cast<double>(unsent));
}

}  // namespace dandelionspur
