#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_SETTINGS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_SETTINGS_H_

#include <boost/describe.hpp>
#include <cstdint>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/configuration/service_document.h"
#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// The time after the last contact between an agent and any entry after which
// no task that the agent has started can still be running, or begin to run,
// since an agent without contact renews no lease. docs/design/platform.md has
// the argument.
[[nodiscard]] constexpr Duration RunsOverAfter(Duration lease,
                                               StartConfirmation starts) {
  constexpr Duration kMargin = std::chrono::milliseconds(80);
  return kContactLimit + MaximumRunTime(lease, starts) + kMargin;
}
// The same for tasks whose starts are confirmed.
[[nodiscard]] constexpr Duration LeaseOverAfter(Duration lease) {
  return RunsOverAfter(lease, StartConfirmation::kConfirmed);
}

struct EntryCoreSettings {
  static constexpr std::size_t kRequiredMembers = 13;
  EntryId self;
  // The same for all entries and agents; must never change.
  std::uint32_t bucket_count = 0;
  // How long keys, losses and answers are retained.
  Duration duplicate_window = std::chrono::minutes(10);
  Duration suspect_after = std::chrono::milliseconds(1000);
  Duration remove_after = std::chrono::milliseconds(5000);
  // Unanswered requests between processes are repeated at this interval.
  Duration repeat_interval = std::chrono::milliseconds(250);
  Duration heartbeat_interval = std::chrono::milliseconds(150);
  // Minimum time between two answers to heartbeats of the same agent.
  Duration agent_reply_interval = std::chrono::milliseconds(100);
  // RunsOverAfter for confirmed starts, and for the others.
  Duration lease_over_after = LeaseOverAfter(std::chrono::seconds(1));
  // After a request to drain, submissions may still arrive for this long.
  Duration drain_accepts = std::chrono::milliseconds(2100);
  // After this time since the request to drain, the entry no longer waits to be
  // removed from the view.
  Duration drain_limit = std::chrono::milliseconds(4500);
  std::uint64_t maximum_answer_bytes = 16U * 1024U * 1024U;
  // Seeds the choices of the random placement baselines.
  std::uint64_t placement_seed = 1;
  // The rate at which starts and relays leave the instance; 0: not limited.
  std::uint64_t link_bytes_per_second = 0;
  // For services whose document names none.
  InterferenceHandling interference = InterferenceHandling::kIgnore;
  PlacementKind placement = PlacementKind::kFastestFree;
  // Keys without a known job that callers and other entries may have this entry
  // record as cancelled, at a time.
  std::uint64_t maximum_cancelled_keys = 1'000'000;
  Duration unconfirmed_over_after =
      RunsOverAfter(std::chrono::seconds(1), StartConfirmation::kUnconfirmed);

  [[nodiscard]] Duration RunsOver(StartConfirmation starts) const {
    return starts == StartConfirmation::kConfirmed
               ? this->lease_over_after
               : this->unconfirmed_over_after;
  }
};
BOOST_DESCRIBE_STRUCT(EntryCoreSettings, (),
                      (self, bucket_count, duplicate_window, suspect_after,
                       remove_after, repeat_interval, heartbeat_interval,
                       agent_reply_interval, lease_over_after, drain_accepts,
                       drain_limit, maximum_answer_bytes, placement_seed,
                       link_bytes_per_second, interference, placement,
                       maximum_cancelled_keys, unconfirmed_over_after))

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ENTRY_CORE_SETTINGS_H_
