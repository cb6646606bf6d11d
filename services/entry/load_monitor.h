#ifndef DANDELIONSPUR_SERVICES_ENTRY_LOAD_MONITOR_H_
#define DANDELIONSPUR_SERVICES_ENTRY_LOAD_MONITOR_H_

#include <prometheus/histogram.h>

#include <chrono>
#include <cstdint>
#include <optional>

#include "libraries/configuration/settings.h"
#include "libraries/entry_core/entry_core.h"
#include "libraries/protocol/job.h"
#include "libraries/telemetry/event_loop_delay.h"
#include "libraries/telemetry/metrics.h"
#include "services/entry/entry_links.h"
#include "services/entry/load_guard.h"
#include "services/entry/peer_queues.h"

namespace dandelionspur {

// Measures the load of an entry process: the delay of its event loop, its
// memory, its link and the queues to its peers. Logs when one of them becomes
// scarce, and decides by them whether a new job may be taken in. Used on the
// core's thread only.
class LoadMonitor {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  LoadMonitor(const EntrySettings& settings, const EntryCore& entry_core,
              EntryLinks& entry_links, Metrics& metrics);
  LoadMonitor(const LoadMonitor&) = delete;
  LoadMonitor& operator=(const LoadMonitor&) = delete;

  // Records how long an event that arrived at `arrived` waited in the queue.
  void RecordQueueDelay(SteadyTime arrived);
  // Updates the delay metric, and logs when the process falls behind or has
  // caught up. Called at each tick, before the core handles it.
  void ObserveDelay(Duration tick_lateness);
  // Checks the memory, the peers' queues and the link. Called after each tick.
  void ObserveResources();
  // Why no new job with this submission may be taken in, or nothing.
  [[nodiscard]] std::optional<Overload> Check(const JobSubmission& job) const;
  // Counts the memory of a job that was taken in after Check().
  void NoteAdmitted(const JobSubmission& job) {
    this->load_guard.NoteAdmitted(job.HeldBytes());
  }
  // Whether the process is so far behind that callers notice it.
  [[nodiscard]] bool IsBehind() const { return this->load_guard.IsBehind(); }

 private:
  // Logs the peers whose queues have become full or have room again.
  void ObservePeerQueues();
  // Logs, once a second, if messages have used most of the link.
  void ObserveLink(SteadyTime now);

  const EntryCore& core;
  EntryLinks& links;
  // 0: not known.
  std::uint64_t link_bytes_per_second;
  EventLoopDelay work_delay;
  LagDetector pace;
  LoadGuard load_guard;
  PeerQueues peer_queues;
  SteadyTime next_link_check;
  prometheus::Histogram& work_delays;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_LOAD_MONITOR_H_
