#include "services/runtime/record_uploader.h"

#include "libraries/telemetry/log.h"

namespace dandelionspur {

void SetRecordingGauges(Metrics& metrics, std::uint64_t lost,
                        std::size_t unsent, std::size_t held_bytes) {
  metrics.Set("records_lost", static_cast<double>(lost));
  metrics.Set("record_segments_unsent", static_cast<double>(unsent));
  metrics.Set("held_bytes", "kind", "records", static_cast<double>(held_bytes));
}

void SetLogGauges(Metrics& metrics) {
  const LogCounts counts = GetLogCounts();
  metrics.Set("log_lines_written", static_cast<double>(counts.written));
  metrics.Set("log_lines_left_out", static_cast<double>(counts.suppressed));
  metrics.Set("log_batches_lost", static_cast<double>(counts.dropped_batches));
}

}  // namespace dandelionspur
