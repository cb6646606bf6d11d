#include "libraries/entry_core/home_assignment.h"

#include <algorithm>
#include <chrono>

namespace dandelionspur {
namespace {

// Longer than the interval of heartbeats and the delivery of a view, so that
// an entry that has only just come back is not loaded at once.
constexpr Duration kSteady = std::chrono::milliseconds(1000);

}  // namespace

bool DeclinesBuckets(Duration kept_up_for) { return kept_up_for < kSteady; }

std::size_t BucketsToTakeBack(const ReturnConditions& conditions) {
  // All buckets return within this many steps.
  constexpr std::size_t kSteps = 8;
  const bool is_steady = conditions.kept_up_for >= kSteady &&
                         conditions.undisturbed_for >= kSteady;
  if (!is_steady || conditions.collecting > 0) return 0;
  return (conditions.by_rank + kSteps - 1) / kSteps;
}

BucketShare ShareOf(const Ownership& ownership,
                    const EntryCoreSettings& settings) {
  BucketShare share;
  for (std::uint32_t i = 0; i < settings.bucket_count; ++i) {
    const BucketId id(i);
    if (ownership.Phase(id) != OwnershipPhase::kNone) ++share.held;
    const std::vector<EntryId>& ranking = ownership.MembersByRank(id);
    const bool is_first = !ranking.empty() && ranking.front() == settings.self;
    if (is_first) ++share.by_rank;
  }
  return share;
}

BucketReturn::BucketReturn(const EntryCoreSettings& configured,
                           const PeerDirectory& directory,
                           const LocalHealth& own_health, Ownership& owner)
    : settings(configured),
      peers(directory),
      health(own_health),
      ownership(owner) {}

bool BucketReturn::HearsAllMembers(Timestamp now) const {
  const std::vector<ViewMember>& members = this->ownership.view().members;
  return std::all_of(members.begin(), members.end(),
                     [&](const ViewMember& member) {
                       if (member.entry == this->settings.self) return true;
                       return this->peers.IsConnected(member.entry) &&
                              !this->peers.IsSuspected(member.entry, now);
                     });
}

void BucketReturn::Advance(Timestamp now) {
  const View& view = this->ownership.view();
  const bool is_member = view.Find(this->settings.self) != nullptr;
  const bool is_undisturbed =
      is_member && this->epoch == view.epoch && this->HearsAllMembers(now);
  if (!is_undisturbed) this->undisturbed_since = now;
  this->epoch = view.epoch;
  ReturnConditions conditions;
  conditions.kept_up_for = this->health.KeptUpFor(now);
  conditions.undisturbed_for = now - this->undisturbed_since;
  std::vector<BucketId> elsewhere;
  for (std::uint32_t i = 0; i < this->settings.bucket_count; ++i) {
    const BucketId id(i);
    const OwnershipPhase phase = this->ownership.Phase(id);
    if (phase == OwnershipPhase::kCollecting) ++conditions.collecting;
    const std::vector<EntryId>& ranking = this->ownership.MembersByRank(id);
    if (ranking.empty() || ranking.front() != this->settings.self) continue;
    ++conditions.by_rank;
    // A ballot of a later view must not be lowered.
    const bool may_acquire = this->ownership.Promised(id).epoch <= view.epoch;
    if (phase == OwnershipPhase::kNone && may_acquire) elsewhere.push_back(id);
  }
  const std::size_t count = BucketsToTakeBack(conditions);
  elsewhere.resize(std::min(count, elsewhere.size()));
  this->ownership.TakeBack(elsewhere, now);
}

}  // namespace dandelionspur
