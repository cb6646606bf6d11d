#include "services/entry/peer_queues.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// A full queue has room again below this share of the limit, in percent.
constexpr std::uint64_t kHasRoomPercent = 50;
constexpr std::uint64_t kPercent = 100;
// What the link carries in this time may be unsent to one peer. Relays that
// wait longer leave their tasks too little time.
constexpr std::uint64_t kMaximumWaitMilliseconds = 300;
constexpr std::uint64_t kMillisecondsPerSecond = 1000;
// Without a known link, and for very slow ones: some large job bodies.
constexpr std::uint64_t kMinimumLimitBytes = 512 * 1024;
constexpr std::uint64_t kDefaultLimitBytes = 4 * 1024 * 1024;

std::uint64_t LimitFor(std::uint64_t link_bytes_per_second) {
  if (link_bytes_per_second == 0) return kDefaultLimitBytes;
  return std::max(kMinimumLimitBytes, link_bytes_per_second *
                                          kMaximumWaitMilliseconds /
                                          kMillisecondsPerSecond);
}

}  // namespace

PeerQueues::PeerQueues(std::uint64_t link_bytes_per_second)
    : limit(LimitFor(link_bytes_per_second)) {}

Duration PeerQueues::TimeToDrain() {
  return std::chrono::milliseconds(kMaximumWaitMilliseconds);
}

std::vector<QueueChange> PeerQueues::Note(
    const std::map<EntryId, std::uint64_t>& unsent_bytes) {
  std::erase_if(this->full,
                [&](EntryId peer) { return !unsent_bytes.contains(peer); });
  std::vector<QueueChange> changes;
  for (const auto& [peer, bytes] : unsent_bytes) {
    const bool was_full = this->full.contains(peer);
    const std::uint64_t bound =
        was_full ? this->limit * kHasRoomPercent / kPercent : this->limit;
    const bool is_full = bytes > bound;
    if (is_full == was_full) continue;
    if (is_full) {
      this->full.insert(peer);
    } else {
      this->full.erase(peer);
    }
    changes.push_back(
        {peer, is_full ? QueueState::kFull : QueueState::kHasRoom, bytes});
  }
  return changes;
}

}  // namespace dandelionspur
