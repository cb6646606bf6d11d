#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_ASSIGNMENT_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_ASSIGNMENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/bucket_table.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/membership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// Which entry should be home of a bucket, and which ones may be witnesses for
// it, judged by the view, the promised ballots and the suspected entries.
class BucketAssignment {
 public:
  BucketAssignment(const EntryCoreSettings& configured,
                   const Membership& current_membership,
                   BucketTable& bucket_table, const PeerDirectory& directory);

  // The entry that should act as home of `bucket`: the owner of the promised
  // ballot or, if that entry is not eligible, the highest-ranked member that is
  // not suspected and doesn't decline; if all decline, the first of these. An
  // empty id if all are suspected.
  [[nodiscard]] EntryId ExpectedHome(BucketId bucket, Timestamp now) const;
  // The buckets that this entry should acquire. Examines only buckets whose
  // expected home may have changed since the last call.
  std::vector<BucketId> TakeVacant(Timestamp now);
  // Whether the ballot of the bucket stays in force in the current view.
  [[nodiscard]] bool MayKeep(BucketId id) const;
  // Whether the entry is a member of the view and was one in the view that the
  // promised ballot of the bucket names. A taker may not ask a later member.
  [[nodiscard]] bool MayWitness(EntryId entry, BucketId bucket) const;
  // The highest-ranked other member that is connected and not suspected, as
  // witness for keys of `bucket`; not one of `excluded`.
  [[nodiscard]] std::optional<EntryId> WitnessFor(
      BucketId bucket, const std::set<EntryId>& excluded, Timestamp now) const;
  // The other member that joined first, of those connected and not suspected.
  [[nodiscard]] std::optional<EntryId> OldestConnectedMember(
      Timestamp now) const;
  // How many times TakeVacant has examined a bucket.
  [[nodiscard]] std::uint64_t buckets_examined() const {
    return this->examined;
  }

 private:
  // Returns the buckets whose expected home may have changed since the last
  // call, and clears the list of changes.
  std::vector<BucketId> TakeBucketsToCheck(Timestamp now);
  [[nodiscard]] bool IsVacant(BucketId bucket, Timestamp now) const;

  EntryCoreSettings settings;
  const Membership& membership;
  BucketTable& buckets;
  const PeerDirectory& peers;
  // The view's epoch and the suspected entries at the latest search for vacant
  // buckets.
  Epoch searched_epoch;
  std::uint64_t searched_declines = 0;
  std::vector<EntryId> suspected;
  std::uint64_t examined = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_ASSIGNMENT_H_
