#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMBERSHIP_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/protocol/entry_messages.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// The view that is in force at this entry, and since when its members, this
// entry among them, have been in it.
class Membership {
 public:
  explicit Membership(const EntryCoreSettings& configured);

  [[nodiscard]] const View& view() const { return this->current_view; }
  // Applies a newer view.
  void Adopt(const View& view);
  // The members of the view, the one that should be home of `bucket` first.
  [[nodiscard]] const std::vector<EntryId>& Ranking(BucketId bucket) const {
    return this->rankings[bucket.value()];
  }
  // The epoch in which this entry first saw each member of the view.
  [[nodiscard]] const std::map<EntryId, Epoch>& since() const {
    return this->member_since;
  }
  // Whether the entry is a member of the view and was one in the view of
  // `epoch`.
  [[nodiscard]] bool HasBeenMemberSince(EntryId entry, Epoch epoch) const;
  // Whether the view may have had no member but `entry`, which may be lost by
  // now, for some time. Keys that other entries handed over to it then are
  // recorded nowhere else.
  [[nodiscard]] bool MayHaveBeenAlone(EntryId entry) const;

  void MarkSynchronized() { this->synchronized = true; }
  [[nodiscard]] bool IsSynchronized() const { return this->synchronized; }
  // Records that this entry became a member of the view at `now`.
  void NoteJoined(Timestamp now) { this->joined_at = now; }
  // Whether this entry has been a member for so long that all leases from
  // before have expired, also those of agents that no entry has reported.
  [[nodiscard]] bool HasOutlivedLeases(Timestamp now) const {
    return this->joined_at &&
           now >= *this->joined_at + this->settings.lease_over_after;
  }

 private:
  void RecordMembers();

  EntryCoreSettings settings;
  View current_view;
  std::map<EntryId, Epoch> member_since;
  // The entries that were in a view together with an older member and with this
  // entry. The older member was there before, and this one has been since.
  std::set<EntryId> never_alone;
  // Per bucket, the members of the current view in rendezvous order.
  std::vector<std::vector<EntryId>> rankings;
  bool synchronized = false;
  std::optional<Timestamp> joined_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMBERSHIP_H_
