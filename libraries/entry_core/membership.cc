#include "libraries/entry_core/membership.h"

#include <utility>

namespace dandelionspur {

Membership::Membership(const EntryCoreSettings& configured)
    : settings(configured), rankings(configured.bucket_count) {}

void Membership::Adopt(const View& view) {
  this->current_view = view;
  this->RecordMembers();
  for (std::uint32_t i = 0; i < this->rankings.size(); ++i) {
    this->rankings[i] = view.Ranking(BucketId(i));
  }
}

void Membership::RecordMembers() {
  std::map<EntryId, Epoch> since;
  for (const ViewMember& member : this->current_view.members) {
    const auto known = this->member_since.find(member.entry);
    since[member.entry] = known == this->member_since.end()
                              ? this->current_view.epoch
                              : known->second;
  }
  this->member_since = std::move(since);
  if (!this->member_since.contains(this->settings.self)) return;
  // Members are listed in the order in which they joined.
  const std::vector<ViewMember>& members = this->current_view.members;
  for (std::size_t i = 1; i < members.size(); ++i) {
    this->never_alone.insert(members[i].entry);
  }
}

bool Membership::HasBeenMemberSince(EntryId entry, Epoch epoch) const {
  const auto since = this->member_since.find(entry);
  return since != this->member_since.end() && since->second <= epoch;
}

bool Membership::MayHaveBeenAlone(EntryId entry) const {
  const std::vector<ViewMember>& members = this->current_view.members;
  const bool is_oldest = !members.empty() && members.front().entry == entry;
  return is_oldest || !this->never_alone.contains(entry);
}

}  // namespace dandelionspur
