#include "libraries/entry_core/ownership.h"

#include <algorithm>
#include <utility>

#include "libraries/entry_core/move_reason.h"

namespace dandelionspur {

Ownership::Ownership(const EntryCoreSettings& configured,
                     const AgentRegistry& registry,
                     const PeerDirectory& directory,
                     const AgentContacts& agent_contacts, EntryOutbox& effects)
    : settings(configured),
      peers(directory),
      outbox(effects),
      membership(configured),
      buckets(configured.bucket_count),
      assignment(configured, this->membership, this->buckets, directory),
      collector(configured, this->membership, this->buckets, registry,
                directory, effects),
      responder(this->buckets, effects),
      history(configured, this->membership, this->buckets, registry,
              agent_contacts, this->roster),
      activator(configured, this->membership, this->buckets, registry,
                directory, this->history, effects) {}

Ownership::ViewChange Ownership::AdoptView(const View& view, OtherHomes others,
                                           Timestamp now) {
  for (const BucketId id : this->buckets.ActiveBuckets()) {
    // Judged by the view in which the promises were made.
    this->history.AllStartsRecorded(this->buckets.Get(id), now);
  }
  this->membership.Adopt(view);
  ViewChange change;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->buckets.Get(id).phase == OwnershipPhase::kNone) continue;
    if (others == OtherHomes::kNone && this->assignment.MayKeep(id)) {
      change.kept.push_back(id);
      continue;
    }
    this->buckets.Release(id);
    change.released.push_back(id);
  }
  return change;
}

void Ownership::Acquire(const std::vector<BucketId>& wanted, Timestamp now) {
  if (wanted.empty()) return;
  std::map<MoveReason, std::vector<BucketBallot>> begun;
  for (const BucketId id : wanted) {
    const MoveReason reason =
        ReasonToMove(this->buckets.Get(id).promised, this->membership.view(),
                     this->peers, now);
    this->BeginAcquisition(id, now);
    begun[reason].push_back({id, this->buckets.Get(id).own_ballot});
  }
  for (auto& [reason, ballots] : begun) {
    this->outbox.Add(OwnershipChanged{OwnershipPhase::kCollecting,
                                      std::move(ballots), reason});
  }
  this->collector.RequestMissing(now);
}

void Ownership::Remember(const KnownKey& known, Timestamp now) {
  const KeyNovelty novelty = this->RecordsOf(known.key).Remember(known, now);
  this->TrackNewKey(known, novelty);
}

void Ownership::RememberInherited(const KnownKey& known, Timestamp now) {
  const KeyNovelty novelty =
      this->RecordsOf(known.key).RememberInherited(known, now);
  this->TrackNewKey(known, novelty);
}

void Ownership::TrackNewKey(const KnownKey& known, KeyNovelty novelty) {
  if (!this->tracks_new_keys || novelty == KeyNovelty::kKnown) return;
  this->new_keys[this->BucketOfKey(known.key)].push_back(known);
}

void Ownership::Cancel(const JobKey& key, Timestamp now) {
  const KeyNovelty novelty = this->RecordsOf(key).Cancel(key, now);
  this->TrackNewKey({key, now, true}, novelty);
}

std::vector<JobKey> Ownership::CancelledKeys() const {
  std::vector<JobKey> keys;
  for (const BucketState& bucket : this->buckets.all()) {
    const std::set<JobKey>& cancelled = bucket.keys.cancelled();
    keys.insert(keys.end(), cancelled.begin(), cancelled.end());
  }
  return keys;
}

void Ownership::Close(const JobKey& key, Timestamp now) {
  this->RecordsOf(key).Close(key, now);
}

void Ownership::Reopen(const JobKey& key, std::vector<ReportedTask> started) {
  this->RecordsOf(key).Reopen(key, std::move(started));
}

std::vector<ReportedTask> Ownership::ReportedTasks(const JobKey& key) const {
  return this->RecordsOf(key).ReportedTasks(key);
}

bool Ownership::AgentPromised(BucketId bucket, AgentId agent) const {
  return this->buckets.Get(bucket).agent_promises.contains(agent);
}

std::vector<KnownKey> Ownership::KeysOf(BucketId bucket) const {
  return this->buckets.Get(bucket).keys.Sorted();
}

std::size_t Ownership::KnownKeyCount() const {
  std::size_t count = 0;
  for (const BucketState& bucket : this->buckets.all()) {
    count += bucket.keys.size();
  }
  return count;
}

void Ownership::MarkReReplicated(BucketId bucket, EntryId lost) {
  if (!this->buckets.Contains(bucket)) return;
  this->buckets.Get(bucket).replicated_losses.insert(lost);
  this->buckets.NotePromisesChanged();
}

void Ownership::Expire(Timestamp horizon) {
  // Lost agents are removed from the registry at the same time.
  this->buckets.NotePromisesChanged();
  for (BucketState& bucket : this->buckets.all()) bucket.keys.Expire(horizon);
}

void Ownership::BeginAcquisition(BucketId id, Timestamp now) {
  BucketState& bucket = this->buckets.Get(id);
  this->buckets.MarkIncomplete(id);
  this->buckets.NotePromisesChanged();
  const Ballot previous = bucket.promised;
  bucket.prior_states.clear();
  bucket.prior_states[this->settings.self] = {previous, bucket.held,
                                              bucket.all_starts_recorded};
  bucket.all_starts_recorded = false;
  bucket.former_home.reset();
  const bool other_was_home =
      !previous.IsNone() && previous.entry != this->settings.self;
  if (other_was_home && !this->membership.MayHaveBeenAlone(previous.entry)) {
    bucket.former_home = previous.entry;
  }
  bucket.own_ballot.epoch = this->membership.view().epoch;
  bucket.own_ballot.round =
      previous.epoch == this->membership.view().epoch ? previous.round + 1 : 0;
  bucket.own_ballot.entry = this->settings.self;
  bucket.promised = bucket.own_ballot;
  bucket.phase = OwnershipPhase::kCollecting;
  bucket.begun_at = now;
  bucket.entry_promises.clear();
  bucket.agent_promises.clear();
  bucket.fresh_after.reset();
  bucket.keys.BeginBallot();
}

}  // namespace dandelionspur
