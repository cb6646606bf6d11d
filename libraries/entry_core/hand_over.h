#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HAND_OVER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HAND_OVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"

namespace dandelionspur {

// Gives this entry's keys to all other members, so that a lost or leaving
// entry need not be asked about them any more.
class KeyHandOver {
 public:
  KeyHandOver(const EntryCoreSettings& configured, Ownership& owner,
              PeerDirectory& directory, EntryOutbox& effects);

  // Heals: gives the keys of buckets to the others, if the view has losses
  // that may have witnessed some. Only for buckets of which this entry, as
  // home, knows every started key: otherwise the lost entry would be counted
  // as replaced while it alone knew of a start.
  void Heal(const std::vector<BucketId>& buckets);
  // Before a planned stop: gives away all keys known here.
  void BeginDeparture();
  // Whether every other member has taken what was given before the stop.
  [[nodiscard]] bool DepartureComplete() const {
    return this->departure && this->rounds.at(*this->departure).pending.empty();
  }
  void Answer(EntryId from, const HandOver& message, Timestamp now);
  void OnReply(EntryId from, const HandOverReply& reply);
  // Sends again to those that have not answered.
  void RepeatRequests();
  // A hand-over under an earlier view proves nothing about this one.
  void OnViewChange();

 private:
  struct Round {
    HandOver message;
    std::set<EntryId> pending;
    std::vector<EntryId> losses;
  };

  std::uint64_t Begin(HandOver message, std::vector<EntryId> losses);
  void Send(const Round& round);

  EntryCoreSettings settings;
  Ownership& ownership;
  PeerDirectory& peers;
  EntryOutbox& outbox;
  std::uint64_t last_sequence = 0;
  std::map<std::uint64_t, Round> rounds;
  std::optional<std::uint64_t> departure;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HAND_OVER_H_
