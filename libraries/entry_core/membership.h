#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMBERSHIP_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMBERSHIP_H_

#include <algorithm>
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
  void NoteJoined(Timestamp now) { this->unknown_contact = now; }
  // Records that a member has told this entry, as a member, all agents that it
  // knows.
  void NoteAgentsTold(EntryId member) { this->told.insert(member); }
  [[nodiscard]] bool HasToldAgents(EntryId member) const {
    return this->told.contains(member);
  }
  // Records that a member left the view without having told its agents, and
  // that it may have had contact with them until `until`.
  void NoteLeftUntold(Timestamp until) {
    if (!this->unknown_contact) return;
    this->unknown_contact = std::max(*this->unknown_contact, until);
  }
  // The latest time at which an entry that is no member any more may have had
  // contact with an agent that this entry doesn't know. Not set while this
  // entry has not been a member.
  [[nodiscard]] std::optional<Timestamp> LatestUnknownContact() const {
    return this->unknown_contact;
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
  std::set<EntryId> told;
  std::optional<Timestamp> unknown_contact;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMBERSHIP_H_
