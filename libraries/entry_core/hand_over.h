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

// Replicates this entry's keys to all other members, so that no home needs the
// promise of a lost or leaving entry for them any more.
class KeyHandOver {
 public:
  KeyHandOver(const EntryCoreSettings& configured, Ownership& owner,
              PeerDirectory& directory, EntryOutbox& effects);

  // Sends the keys of `buckets` to all other members if the view lists lost
  // entries that may have witnessed some of them. Call it only for buckets of
  // which this entry, as home, has recorded every started key: otherwise the
  // lost entry would count as replaced although it alone had recorded a start.
  void ReReplicate(const std::vector<BucketId>& buckets);
  // Begins a graceful shutdown by sending all recorded keys to the other
  // members.
  void BeginDeparture();
  // Whether every other member has acknowledged the keys sent by
  // BeginDeparture.
  [[nodiscard]] bool DepartureComplete() const {
    return this->departure && this->rounds.at(*this->departure).pending.empty();
  }
  void Answer(EntryId from, const HandOver& message, Timestamp now);
  void OnReply(EntryId from, const HandOverReply& reply);
  // Sends the hand-over messages again to members that have not acknowledged
  // them.
  void RepeatRequests();
  // Sends the pending hand-over messages to a member that has connected.
  void RepeatRequestsTo(EntryId entry);
  // Discards pending hand-overs, since acknowledgements under an earlier view
  // do not cover the members of the current one. Restarts that of a departure.
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
