#include "libraries/entry_core/bucket_assignment.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {

BucketAssignment::BucketAssignment(const EntryCoreSettings& configured,
                                   const Membership& current_membership,
                                   BucketTable& bucket_table,
                                   const PeerDirectory& directory)
    : settings(configured),
      membership(current_membership),
      buckets(bucket_table),
      peers(directory) {}

bool BucketAssignment::MayKeep(BucketId id) const {
  const std::vector<EntryId>& ranking = this->membership.Ranking(id);
  const bool stays_home = this->buckets.IsActive(id) && !ranking.empty() &&
                          ranking.front() == this->settings.self &&
                          !this->buckets.incomplete().contains(id);
  if (!stays_home) return false;
  const auto witnesses =
      std::count_if(ranking.begin(), ranking.end(), [&](EntryId entry) {
        return entry != this->settings.self && this->MayWitness(entry, id);
      });
  // If all entries that may be witnesses are lost while the table is down, new
  // jobs stop although other members live.
  constexpr std::ptrdiff_t kFewWitnesses = 3;
  const auto others = static_cast<std::ptrdiff_t>(ranking.size()) - 1;
  return witnesses > 0 && witnesses >= std::min(others, kFewWitnesses) &&
         2 * witnesses >= others;
}

EntryId BucketAssignment::ExpectedHome(BucketId bucket, Timestamp now) const {
  // A ballot of an earlier view is in force only if its owner has kept the
  // bucket, which it does only where it ranks first.
  const Ballot& promised = this->buckets.Get(bucket).promised;
  const bool current =
      promised.epoch >= this->membership.view().epoch && !promised.IsNone();
  const auto acts = [&](EntryId entry) {
    return entry == this->settings.self || !this->peers.IsSuspected(entry, now);
  };
  const bool is_member =
      this->membership.view().Find(promised.entry) != nullptr;
  if (current && is_member && acts(promised.entry)) return promised.entry;
  // If all decline, one of them must act.
  EntryId first;
  for (const EntryId entry : this->membership.Ranking(bucket)) {
    if (!acts(entry)) continue;
    const bool takes = entry == promised.entry || !this->peers.Declines(entry);
    if (takes) return entry;
    if (first == EntryId()) first = entry;
  }
  return first;
}

std::vector<BucketId> BucketAssignment::TakeBucketsToCheck(Timestamp now) {
  std::vector<EntryId> suspects = this->peers.Suspected(now);
  const bool all = this->searched_epoch != this->membership.view().epoch ||
                   this->suspected != suspects ||
                   this->searched_declines != this->peers.DeclineChanges();
  this->searched_declines = this->peers.DeclineChanges();
  this->searched_epoch = this->membership.view().epoch;
  this->suspected = std::move(suspects);
  const std::set<BucketId> changed = this->buckets.TakeChanged();
  std::vector<BucketId> to_check;
  if (all) {
    for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
      to_check.emplace_back(i);
    }
  } else {
    to_check.assign(changed.begin(), changed.end());
  }
  return to_check;
}

bool BucketAssignment::IsVacant(BucketId bucket, Timestamp now) const {
  if (this->buckets.Phase(bucket) != OwnershipPhase::kNone) return false;
  const Ballot& promised = this->buckets.Get(bucket).promised;
  if (promised.epoch > this->membership.view().epoch) return false;
  return this->ExpectedHome(bucket, now) == this->settings.self;
}

std::vector<BucketId> BucketAssignment::TakeVacant(Timestamp now) {
  std::vector<BucketId> candidates = this->TakeBucketsToCheck(now);
  if (this->membership.view().Find(this->settings.self) == nullptr) return {};
  this->examined += candidates.size();
  std::erase_if(candidates,
                [&](BucketId id) { return !this->IsVacant(id, now); });
  return candidates;
}

std::optional<EntryId> BucketAssignment::WitnessFor(
    BucketId bucket, const std::set<EntryId>& excluded, Timestamp now) const {
  for (const EntryId entry : this->membership.Ranking(bucket)) {
    if (entry == this->settings.self || excluded.contains(entry)) continue;
    if (this->peers.IsSuspected(entry, now)) continue;
    if (!this->MayWitness(entry, bucket)) continue;
    if (this->peers.IsConnected(entry)) return entry;
  }
  return std::nullopt;
}

std::optional<EntryId> BucketAssignment::OldestConnectedMember(
    Timestamp now) const {
  std::optional<EntryId> oldest;
  for (const auto& [entry, since] : this->membership.since()) {
    if (entry == this->settings.self) continue;
    if (this->peers.IsSuspected(entry, now)) continue;
    if (!this->peers.IsConnected(entry)) continue;
    if (oldest && this->membership.since().at(*oldest) <= since) continue;
    oldest = entry;
  }
  return oldest;
}

bool BucketAssignment::MayWitness(EntryId entry, BucketId bucket) const {
  return this->membership.HasBeenMemberSince(
      entry, this->buckets.Get(bucket).promised.epoch);
}

}  // namespace dandelionspur
