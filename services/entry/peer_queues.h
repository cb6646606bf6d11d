#ifndef DANDELIONSPUR_SERVICES_ENTRY_PEER_QUEUES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_PEER_QUEUES_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Whether the queue of messages to a peer takes further relays.
BOOST_DEFINE_ENUM_CLASS(QueueState, kHasRoom, kFull)

struct QueueChange {
  EntryId peer;
  QueueState state = QueueState::kHasRoom;
  std::uint64_t unsent_bytes = 0;
};

// Decides, with hysteresis, which peers read too slowly to be sent relays: what
// is unsent to them is held in this process's memory, and the relays would
// arrive too late.
class PeerQueues {
 public:
  // `link_bytes_per_second`: the capacity of the instance's link; 0: not known.
  explicit PeerQueues(std::uint64_t link_bytes_per_second);

  // Records the unsent bytes of all connected peers. Returns the peers whose
  // queues have become full or have room again; a peer that is no longer
  // connected has no queue.
  std::vector<QueueChange> Note(
      const std::map<EntryId, std::uint64_t>& unsent_bytes);
  [[nodiscard]] bool IsFull(EntryId peer) const {
    return this->full.contains(peer);
  }
  // The time in which a full queue has room again, if the peer takes what the
  // link carries.
  [[nodiscard]] static Duration TimeToDrain();

 private:
  std::uint64_t limit;
  std::set<EntryId> full;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_PEER_QUEUES_H_
