#include "libraries/agent_core/free_capacity_offers.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Entries with longer queues are preferred only up to this length, so that one
// with a single urgent task has its turn soon.
constexpr std::uint32_t kLongQueue = 4;
// An entry that has not sent a start by then needs the capacity no more.
constexpr Duration kOfferTime = std::chrono::milliseconds(20);

}  // namespace

std::vector<EntryId> FreeCapacityOffers::Offer(
    const std::vector<WaitingEntry>& waiting, std::uint64_t starts,
    Timestamp now) {
  std::erase_if(this->open, [&](const auto& offer) {
    return now - offer.second > kOfferTime;
  });
  struct Candidate {
    EntryId entry;
    std::uint64_t claim = 0;
  };
  std::vector<Candidate> candidates;
  std::map<EntryId, std::uint32_t> still_waiting;
  for (const WaitingEntry& entry : waiting) {
    const std::uint32_t passed = this->passed_over[entry.entry];
    still_waiting[entry.entry] = passed;
    if (this->open.contains(entry.entry)) continue;
    const std::uint64_t turns = std::uint64_t{passed} + 1;
    candidates.push_back(
        {entry.entry, turns * std::min(kLongQueue, entry.queued_tasks)});
  }
  this->passed_over = std::move(still_waiting);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.claim > right.claim;
                   });
  std::vector<EntryId> chosen;
  for (const Candidate& candidate : candidates) {
    if (this->open.size() >= starts) {
      ++this->passed_over[candidate.entry];
      continue;
    }
    this->open[candidate.entry] = now;
    this->passed_over[candidate.entry] = 0;
    chosen.push_back(candidate.entry);
  }
  return chosen;
}

}  // namespace dandelionspur
