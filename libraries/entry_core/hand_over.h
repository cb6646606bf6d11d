#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HAND_OVER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HAND_OVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"

namespace dandelionspur {

// Copies this entry's keys to other members, so that no home needs the promise
// of a lost or leaving entry for them any more. Every key goes to two members,
// the fewest with which a key outlives the exemption of one former home:
// docs/design/at-most-once.md, rule 9. Each receiver is sent one message at a
// time, and the next one once it has acknowledged that, so that callers'
// answers and heartbeats never wait behind more than these messages.
class KeyHandOver {
 public:
  KeyHandOver(const EntryCoreSettings& configured, Ownership& owner,
              PeerDirectory& directory, EntryOutbox& effects);

  // Copies the keys of `buckets` if the view lists lost entries that may have
  // witnessed some of them. Call it only for buckets of which this entry, as
  // home, has recorded every started key: otherwise the lost entry would count
  // as replaced although it alone had recorded a start.
  void ReReplicate(const std::vector<BucketId>& buckets, Timestamp now);
  // Begins a graceful shutdown by copying all recorded keys.
  void BeginDeparture(Timestamp now);
  // Whether this entry may leave the view: every key that it had recorded when
  // the departure began or the current view came into force has its copies.
  [[nodiscard]] bool DepartureComplete() const;
  void Answer(EntryId from, const HandOver& message, Timestamp now);
  void OnReply(EntryId from, const HandOverReply& reply);
  // Sends again what the member has not acknowledged, since it or the
  // acknowledgement may have been lost with an earlier connection.
  void ResumeTo(EntryId entry);
  // Discards the copies of a home, which are begun anew for the current view.
  // Those of a departure continue, with further receivers in place of the ones
  // that are no longer members, and are joined by the keys that were recorded
  // in the meantime: their other holders may be no longer members either.
  void OnViewChange(Timestamp now);
  // Chooses further receivers for the copies whose receivers have become
  // unreachable. Call it periodically.
  void ReplaceUnreachable(Timestamp now) { this->Continue(now); }

 private:
  using CopyId = std::uint64_t;
  enum class Purpose {
    // The sender leaves the view.
    kDeparture,
    // The home replaces lost entries that may have been witnesses.
    kReplication,
    // The home makes sure that no member has promised a higher ballot: a home
    // that was replaced must not declare lost entries dispensable. Carries no
    // keys and goes to all other members.
    kBallotCheck,
  };
  // Keys of one bucket that are to be recorded by other members.
  struct Copy {
    Purpose purpose = Purpose::kDeparture;
    BucketId bucket;
    std::vector<KnownKey> keys;
    // The members to which the copy was assigned, and those of them that have
    // acknowledged it.
    std::set<EntryId> receivers;
    std::set<EntryId> holders;
  };
  // What the home's copies of a bucket replace. They count only under the
  // ballot under which they were begun: under a later one, the members confirm
  // less than the announcement says.
  struct Replacement {
    std::vector<EntryId> losses;
    Ballot ballot;
  };
  struct Receiver {
    std::deque<CopyId> queued;
    // The copies of the message that is not acknowledged yet.
    std::vector<CopyId> in_flight;
    std::uint64_t sequence = 0;
  };

  // Adds copies of the keys, split so that each fits into one message.
  void AddCopies(Purpose purpose, BucketId bucket,
                 const std::vector<KnownKey>& keys);
  void AddCopy(Purpose purpose, BucketId bucket, std::vector<KnownKey> keys);
  // The number of other members that must acknowledge the copy.
  [[nodiscard]] std::size_t RequiredHolders(const Copy& copy) const;
  [[nodiscard]] bool IsComplete(const Copy& copy) const {
    return copy.holders.size() >= this->RequiredHolders(copy);
  }
  // Queues the incomplete copies for as many members as are missing, highest
  // rank first, and sends what can be sent.
  void Continue(Timestamp now);
  void Assign(CopyId id, Copy& copy, Timestamp now);
  // Sends the next message unless the last one is not acknowledged yet.
  void SendNext(EntryId to, Receiver& receiver);
  void Send(EntryId to, const Receiver& receiver);
  [[nodiscard]] bool IsInForce(BucketId bucket,
                               const Replacement& replacement) const;
  // Drops the home's copies of a bucket.
  void DropCopies(BucketId bucket);
  // Drops the home's copies of buckets that are promised to another home.
  void DropReplaced(const std::vector<BucketBallot>& higher);
  // Announces the buckets among `buckets` of which all copies are complete.
  void AnnounceReplicated(const std::set<BucketId>& buckets);
  void AnnounceReplicated(const std::vector<EntryId>& lost,
                          const std::vector<BucketId>& buckets);

  EntryCoreSettings settings;
  Ownership& ownership;
  PeerDirectory& peers;
  EntryOutbox& outbox;
  std::uint64_t last_sequence = 0;
  CopyId last_copy = 0;
  std::map<CopyId, Copy> copies;
  std::map<EntryId, Receiver> receivers;
  std::map<BucketId, Replacement> replacements;
  bool departing = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_HAND_OVER_H_
