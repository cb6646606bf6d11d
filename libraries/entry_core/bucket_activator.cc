#include "libraries/entry_core/bucket_activator.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {

BucketActivator::BucketActivator(const EntryCoreSettings& configured,
                                 const Membership& current_membership,
                                 BucketTable& bucket_table,
                                 const AgentRegistry& registry,
                                 const PeerDirectory& directory,
                                 const KeyHistory& key_history,
                                 EntryOutbox& effects)
    : settings(configured),
      membership(current_membership),
      buckets(bucket_table),
      agents(registry),
      peers(directory),
      history(key_history),
      outbox(effects) {}

BucketActivator::Activation BucketActivator::ActivateReady(Timestamp now) {
  Activation result;
  std::vector<BucketBallot> ballots;
  const std::set<BucketId> waiting = this->buckets.incomplete();
  const bool changed = this->buckets.TakePromisesChanged();
  for (const BucketId id : waiting) {
    BucketState& bucket = this->buckets.Get(id);
    const bool is_active = bucket.phase == OwnershipPhase::kActive;
    const bool time_matters = !is_active && now >= this->ReplyDeadline(bucket);
    if (!changed && !time_matters) continue;
    ++this->examined;
    if (is_active) {
      if (!this->IsFullyRecovered(id, bucket)) continue;
      bucket.fresh_after.reset();
      this->buckets.MarkComplete(id);
      result.fully_recovered.push_back(id);
      continue;
    }
    if (!this->TryActivate(id, bucket, now)) continue;
    result.activated.push_back(id);
    ballots.push_back({id, bucket.own_ballot});
    if (bucket.fresh_after) continue;
    this->buckets.MarkComplete(id);
    result.fully_recovered.push_back(id);
  }
  if (!ballots.empty()) {
    this->outbox.Add(
        OwnershipChanged{OwnershipPhase::kActive, std::move(ballots), {}});
  }
  return result;
}

std::vector<EntryId> BucketActivator::UnreplicatedLosses(
    BucketId bucket) const {
  std::vector<EntryId> unreplicated;
  for (const EntryLoss& loss : this->membership.view().losses) {
    if (!this->buckets.Get(bucket).replicated_losses.contains(loss.entry)) {
      unreplicated.push_back(loss.entry);
    }
  }
  return unreplicated;
}

std::set<EntryId> BucketActivator::RequiredEntries(
    BucketId id, const BucketState& bucket) const {
  std::set<EntryId> required;
  for (const ViewMember& member : this->membership.view().members) {
    required.insert(member.entry);
  }
  for (const EntryId lost : this->UnreplicatedLosses(id)) required.insert(lost);
  required.erase(this->settings.self);
  if (bucket.former_home) required.erase(*bucket.former_home);
  return required;
}

bool BucketActivator::HasAllEntryPromises(BucketId id,
                                          const BucketState& bucket) const {
  const std::set<EntryId> required = this->RequiredEntries(id, bucket);
  return std::includes(bucket.entry_promises.begin(),
                       bucket.entry_promises.end(), required.begin(),
                       required.end());
}

bool BucketActivator::HasAllAgentPromises(const BucketState& bucket) const {
  if (!this->membership.IsSynchronized()) return false;
  return std::all_of(this->agents.all().begin(), this->agents.all().end(),
                     [&](const auto& item) {
                       return bucket.agent_promises.contains(item.first);
                     });
}

std::optional<Timestamp> BucketActivator::EntriesDeadSince(
    BucketId id, const BucketState& bucket) const {
  Timestamp latest = Timestamp::min();
  for (const EntryId entry : this->RequiredEntries(id, bucket)) {
    if (bucket.entry_promises.contains(entry)) continue;
    const std::optional<Timestamp> dead = this->DeadSince(entry);
    if (!dead) return std::nullopt;
    latest = std::max(latest, *dead);
  }
  return latest;
}

std::optional<Timestamp> BucketActivator::AgentsDeadSince(
    const BucketState& bucket) const {
  if (!this->membership.IsSynchronized()) return std::nullopt;
  Timestamp latest = Timestamp::min();
  for (const auto& [agent, known] : this->agents.all()) {
    if (bucket.agent_promises.contains(agent)) continue;
    if (!known.lost_at) return std::nullopt;
    latest = std::max(latest, *known.lost_at);
  }
  return latest;
}

std::optional<Timestamp> BucketActivator::DeadSince(EntryId entry) const {
  for (const EntryLoss& loss : this->membership.view().losses) {
    if (loss.entry == entry && loss.proof == LossProof::kProvenDead) {
      return loss.lost_at;
    }
  }
  return this->peers.DeadSince(entry);
}

bool BucketActivator::IsFullyRecovered(BucketId id,
                                       const BucketState& bucket) const {
  return this->HasAllEntryPromises(id, bucket) ||
         this->HasAllAgentPromises(bucket);
}

bool BucketActivator::MembersHavePromised(const BucketState& bucket) const {
  const std::vector<ViewMember>& members = this->membership.view().members;
  return std::all_of(members.begin(), members.end(),
                     [&](const ViewMember& member) {
                       return member.entry == this->settings.self ||
                              bucket.entry_promises.contains(member.entry) ||
                              this->peers.DeadSince(member.entry);
                     });
}

bool BucketActivator::TryActivate(BucketId id, BucketState& bucket,
                                  Timestamp now) {
  if (!this->IsFullyRecovered(id, bucket)) {
    // Jobs that may run again need no more than this.
    const bool settled = this->history.PriorRunsResolved(bucket, now);
    const bool awaits_replies = now < this->ReplyDeadline(bucket) &&
                                !(settled && this->MembersHavePromised(bucket));
    if (awaits_replies) return false;
    const std::optional<Timestamp> entries = this->EntriesDeadSince(id, bucket);
    const std::optional<Timestamp> agents_dead = this->AgentsDeadSince(bucket);
    const bool leases_over =
        now >= bucket.begun_at + this->settings.lease_over_after;
    if (!entries && !agents_dead && !leases_over && !settled) return false;
    // While a process is unresponsive without being proven dead, no key is
    // young enough to be fresh. Jobs that may run again only need all leases to
    // have expired.
    bucket.fresh_after = std::min(entries.value_or(Timestamp::max()),
                                  agents_dead.value_or(Timestamp::max()));
  }
  bucket.phase = OwnershipPhase::kActive;
  bucket.held = bucket.own_ballot;
  return true;
}

}  // namespace dandelionspur
