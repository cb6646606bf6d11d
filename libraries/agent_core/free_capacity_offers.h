#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_FREE_CAPACITY_OFFERS_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_FREE_CAPACITY_OFFERS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// An entry that queues tasks for lack of free capacity.
struct WaitingEntry {
  EntryId entry;
  std::uint32_t queued_tasks = 0;
};

// Decides which of the waiting entries are told of free capacity. Each start
// that the upstream has room for is offered to one entry only, because entries
// that are told of the same capacity all send starts for it, and all but the
// first of these wait or are refused.
class FreeCapacityOffers {
 public:
  // Offers room for `starts` tasks, less what is offered already. Returns the
  // entries to tell: those with the most queued tasks in proportion to how
  // often they were passed over.
  std::vector<EntryId> Offer(const std::vector<WaitingEntry>& waiting,
                             std::uint64_t starts, Timestamp now);
  // The entry has sent a start or has disconnected, so its offer is settled.
  void Settle(EntryId entry) { this->open.erase(entry); }

 private:
  // When each open offer was made.
  std::map<EntryId, Timestamp> open;
  // How often each waiting entry was passed over since its latest offer.
  std::map<EntryId, std::uint32_t> passed_over;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_FREE_CAPACITY_OFFERS_H_
