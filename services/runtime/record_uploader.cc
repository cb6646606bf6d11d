#include "services/runtime/record_uploader.h"

#include "libraries/telemetry/log.h"

namespace dandelionspur {

void SetRecordingGauges(Metrics& metrics, std::uint64_t lost,
                        std::size_t unsent) {
  metrics.Set("records_lost", static_cast<double>(lost));
  metrics.Set("record_segments_unsent", static_cast<double>(unsent));
}

void SetLogGauges(Metrics& metrics) {
  const LogCounts counts = GetLogCounts();
  metrics.Set("log_lines_written", static_cast<double>(counts.written));
  metrics.Set("log_lines_left_out", static_cast<double>(counts.suppressed));
  metrics.Set("log_batches_lost", static_cast<double>(counts.dropped_batches));
}

}  // namespace dandelionspur
