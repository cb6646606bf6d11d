#include "services/entry/core_settings.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "libraries/network/link_pacer.h"

namespace dandelionspur {
namespace {

// Callers are notified of a graceful shutdown with some delay.
constexpr std::chrono::milliseconds kDrainNoticeDelay{100};
// Time to hand over the buckets after the last caller was accepted. Buckets
// that were not handed over by then are left for other entries to take over.
constexpr std::chrono::milliseconds kMaximumHandOverTime{2400};
// Margin before the process would be killed, for the last steps of the core's
// hand-over, which take longer on a busy processor.
constexpr std::chrono::milliseconds kShutdownMargin{700};

// A small instance keeps fewer answers. `memory_bytes` may be 0: not limited.
std::uint64_t MaximumAnswerBytes(std::uint64_t usual,
                                 std::uint64_t memory_bytes) {
  // One part of the memory in this many.
  constexpr std::uint64_t kAnswerShare = 16;
  if (memory_bytes == 0) return usual;
  return std::min(usual, memory_bytes / kAnswerShare);
}

// Cancelled keys may take a part of the memory. `memory_bytes` may be 0: not
// limited.
std::uint64_t MaximumCancelledKeys(std::uint64_t usual,
                                   std::uint64_t memory_bytes) {
  constexpr std::uint64_t kKeyShare = 4;
  // Of the key's record, and of who has confirmed it.
  constexpr std::uint64_t kBytesPerKey = 600;
  if (memory_bytes == 0) return usual;
  return std::min(usual, memory_bytes / kKeyShare / kBytesPerKey);
}

}  // namespace

EntryCoreSettings DeriveCoreSettings(const EntrySettings& settings,
                                     EntryId self) {
  EntryCoreSettings core;
  core.self = self;
  core.bucket_count = settings.bucket_count;
  core.duplicate_window = settings.duplicate_window;
  core.suspect_after = settings.suspect_after;
  core.remove_after = settings.remove_after;
  core.lease_over_after = LeaseOverAfter(settings.lease);
  core.unconfirmed_over_after =
      RunsOverAfter(settings.lease, StartConfirmation::kUnconfirmed);
  core.drain_accepts = settings.drain_accepts + kDrainNoticeDelay;
  core.drain_limit = std::min(core.drain_accepts + kMaximumHandOverTime,
                              settings.stop_within - kShutdownMargin);
  core.maximum_answer_bytes =
      MaximumAnswerBytes(core.maximum_answer_bytes, settings.memory_bytes);
  core.maximum_cancelled_keys =
      MaximumCancelledKeys(core.maximum_cancelled_keys, settings.memory_bytes);
  core.placement_seed = self.value();
  core.placement = settings.placement;
  core.interference = settings.interference;
  core.link_bytes_per_second =
      LinkPacer::RateFor(settings.link_bytes_per_second);
  return core;
}

}  // namespace dandelionspur
