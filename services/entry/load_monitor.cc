#include "services/entry/load_monitor.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"
#include "services/entry/allocated_bytes.h"

namespace dandelionspur {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::seconds kLinkInterval{1};
// Above this share of the link's rate, in percent, the link counts as full.
constexpr std::uint64_t kFullLinkPercent = 80;

}  // namespace

LoadMonitor::LoadMonitor(const EntrySettings& settings,
                         const EntryCore& entry_core, EntryLinks& entry_links,
                         Metrics& metrics)
    : core(entry_core),
      links(entry_links),
      link_bytes_per_second(settings.link_bytes_per_second),
      load_guard(settings.memory_bytes),
      peer_queues(settings.link_bytes_per_second),
      work_delays(metrics.HistogramFor("stage_seconds", "stage", "own_delay")) {
}

void LoadMonitor::RecordQueueDelay(SteadyTime arrived) {
  this->work_delay.RecordWait(
      std::chrono::duration_cast<Duration>(SteadyClock::now() - arrived));
}

void LoadMonitor::ObserveDelay(Duration tick_lateness) {
  const Duration own_delay = this->work_delay.EndInterval(tick_lateness);
  this->load_guard.NoteDelay(
      std::max(own_delay, this->core.typical_inbound_delay()),
      SteadyClock::now());
  const Duration delay = std::max(own_delay, this->core.inbound_delay());
  this->work_delays.Observe(std::chrono::duration<double>(delay).count());
  const std::optional<LagChange> change = this->pace.Observe(delay);
  if (!change) return;
  if (change->state == LagState::kLagging) {
    LogStateChange(EntryFellBehind{change->delay});
  } else {
    LogStateChange(EntryCaughtUp{change->longest});
  }
}

void LoadMonitor::ObserveResources() {
  this->load_guard.NoteMemory(AllocatedBytes(), SteadyClock::now());
  this->ObservePeerQueues();
  this->ObserveLink(SteadyClock::now());
}

void LoadMonitor::ObservePeerQueues() {
  const std::vector<QueueChange> changes =
      this->peer_queues.Note(this->links.UnsentToPeers());
  for (const QueueChange& change : changes) {
    if (change.state == QueueState::kFull) {
      LogStateChange(PeerQueueFull{change.peer, change.unsent_bytes});
    } else {
      LogStateChange(PeerQueueDrained{change.peer, change.unsent_bytes});
    }
  }
}

void LoadMonitor::ObserveLink(SteadyTime now) {
  if (now < this->next_link_check) return;
  this->next_link_check = now + kLinkInterval;
  constexpr std::uint64_t kPercent = 100;
  const std::uint64_t limit = this->link_bytes_per_second;
  const ByteUse use = this->links.TakeByteUse();
  const std::size_t unsent = this->links.unsent_bytes();
  const bool is_full =
      limit > 0 && (use.bytes + unsent) * kPercent > limit * kFullLinkPercent;
  if (!is_full) return;
  LogStateChange(
      LinkFull{use.bytes, limit, use.largest_kind, use.largest_bytes, unsent});
}

std::optional<Overload> LoadMonitor::Check(const JobSubmission& job) const {
  const std::optional<Overload> overload =
      this->load_guard.Check({this->links.pacer().Delay(), job.Slack()});
  if (overload) return overload;
  const std::optional<EntryId> home =
      this->core.OtherHomeOf(job.key, WallClockNow());
  if (!home || !this->peer_queues.IsFull(*home)) return std::nullopt;
  return Overload{ScarceResource::kPeer, PeerQueues::TimeToDrain()};
}

}  // namespace dandelionspur
