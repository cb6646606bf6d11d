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
      agents(registry),
      peers(directory),
      contacts(agent_contacts),
      outbox(effects),
      membership(configured),
      buckets(configured.bucket_count),
      assignment(configured, this->membership, this->buckets, directory),
      collector(configured, this->membership, this->buckets, registry,
                directory, effects),
      responder(this->buckets, effects) {}

Ownership::ViewChange Ownership::AdoptView(const View& view, Timestamp now) {
  for (const BucketId id : this->buckets.ActiveBuckets()) {
    // Judged by the view in which the promises were made.
    this->AllStartsRecorded(this->buckets.Get(id), now);
  }
  this->membership.Adopt(view);
  ViewChange change;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->buckets.Get(id).phase == OwnershipPhase::kNone) continue;
    if (this->assignment.MayKeep(id)) {
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

Ownership::Activation Ownership::ActivateReady(Timestamp now) {
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

void Ownership::Close(const JobKey& key, Timestamp now) {
  this->RecordsOf(key).Close(key, now);
}

void Ownership::Reopen(const JobKey& key, std::vector<ReportedTask> started) {
  this->RecordsOf(key).Reopen(key, std::move(started));
}

KeyStatus Ownership::StatusOf(const JobSubmission& job, Timestamp now) {
  BucketState& bucket = this->buckets.Get(this->BucketOfKey(job.key));
  if (const auto origin = bucket.keys.OriginOf(job.key)) {
    switch (*origin) {
      case KeyOrigin::kOwn:
        return KeyStatus::kFresh;
      case KeyOrigin::kInherited:
        return KeyStatus::kInherited;
      case KeyOrigin::kClosed:
        return KeyStatus::kClosed;
    }
  }
  // Jobs that may run again have no witness, so only the former home or the
  // agents can report what the former home has started.
  if (job.rerun == RerunPolicy::kAfterLease) {
    return this->AllStartsRecorded(bucket, now) ? KeyStatus::kFresh
                                                : KeyStatus::kUnsettled;
  }
  if (!bucket.fresh_after) return KeyStatus::kFresh;
  const bool younger = job.created && *bucket.fresh_after < Timestamp::max() &&
                       *job.created > *bucket.fresh_after + kClockSkewLimit;
  return younger ? KeyStatus::kFresh : KeyStatus::kIndeterminate;
}

bool Ownership::AllStartsRecorded(BucketState& bucket, Timestamp now) const {
  // Once true, it stays true for this ballot: all later starts are made here.
  bucket.all_starts_recorded = bucket.all_starts_recorded ||
                               this->FormerHomeReportedAllStarts(bucket) ||
                               this->PriorRunsResolved(bucket, now);
  return bucket.all_starts_recorded;
}

bool Ownership::FormerHomeReportedAllStarts(const BucketState& bucket) const {
  const auto has_reported = [&](EntryId entry) {
    return entry == this->settings.self ||
           bucket.entry_promises.contains(entry);
  };
  Ballot latest;
  for (const ViewMember& member : this->membership.view().members) {
    if (!has_reported(member.entry)) return false;
  }
  for (const auto& [entry, before] : bucket.prior_states) {
    latest = std::max(latest, before.promised);
  }
  const auto former = bucket.prior_states.find(latest.entry);
  return !latest.IsNone() && former != bucket.prior_states.end() &&
         has_reported(former->first) && former->second.held == latest &&
         former->second.knew_all_starts;
}

bool Ownership::PriorRunsResolved(const BucketState& bucket,
                                  Timestamp now) const {
  // Only an entry that has joined recently can lack agents in its registry.
  if (!this->membership.IsSynchronized() &&
      !this->membership.HasOutlivedLeases(now))
    return false;
  return std::all_of(this->agents.all().begin(), this->agents.all().end(),
                     [&](const auto& item) {
                       return bucket.agent_promises.contains(item.first) ||
                              this->RunsAreOver(item.second, now);
                     });
}

bool Ownership::RunsAreOver(AgentId agent, Timestamp now) const {
  const KnownAgent* known = this->agents.Find(agent);
  return known == nullptr || this->RunsAreOver(*known, now);
}

bool Ownership::RunsAreOver(const KnownAgent& agent, Timestamp now) const {
  return this->contacts.RunsAreOver(agent, this->membership.view(), now);
}

bool Ownership::HasRunsOfLostAgents(const BucketState& bucket,
                                    const JobKey& key, Timestamp now) const {
  const std::vector<ReportedTask>& started = bucket.keys.ReportedTasks(key);
  return std::any_of(started.begin(), started.end(),
                     [&](const ReportedTask& task) {
                       const KnownAgent* holder = this->agents.Find(task.agent);
                       return holder != nullptr && holder->lost_at &&
                              !this->RunsAreOver(*holder, now);
                     });
}

Timestamp Ownership::FirstSeen(const BucketState& bucket,
                               const JobSubmission& job) const {
  // An entry that has not promised may have seen the key earlier than the
  // record says, which then begins with a later submission of the key.
  if (bucket.fresh_after) return job.created.value_or(Timestamp::min());
  return bucket.keys.FirstSeen(job.key).value_or(Timestamp::min());
}

HistoryState Ownership::HistoryOf(const JobSubmission& job,
                                  Timestamp now) const {
  const BucketState& bucket = this->buckets.Get(this->BucketOfKey(job.key));
  if (job.rerun == RerunPolicy::kAfterLease) {
    const bool settled = this->PriorRunsResolved(bucket, now) &&
                         !this->HasRunsOfLostAgents(bucket, job.key, now);
    return settled ? HistoryState::kComplete : HistoryState::kIncomplete;
  }
  const Timestamp first_seen = this->FirstSeen(bucket, job);
  if (!this->membership.IsSynchronized()) return HistoryState::kIncomplete;
  HistoryState state = HistoryState::kComplete;
  for (const auto& [agent, known] : this->agents.all()) {
    if (bucket.agent_promises.contains(agent)) continue;
    // It may have started tasks, and may never report them.
    if (!known.lost_at && known.refuses_connections) return HistoryState::kLost;
    if (!known.lost_at) {
      state = HistoryState::kIncomplete;
      continue;
    }
    if (*known.lost_at + kClockSkewLimit >= first_seen) {
      return HistoryState::kLost;
    }
  }
  return state;
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
  for (const BucketState& bucket : this->buckets.all())
    count += bucket.keys.size();
  return count;
}

std::vector<EntryId> Ownership::UnreplicatedLosses(BucketId bucket) const {
  std::vector<EntryId> unreplicated;
  for (const EntryLoss& loss : this->membership.view().losses) {
    if (!this->buckets.Get(bucket).replicated_losses.contains(loss.entry)) {
      unreplicated.push_back(loss.entry);
    }
  }
  return unreplicated;
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

std::set<EntryId> Ownership::RequiredEntries(BucketId id,
                                             const BucketState& bucket) const {
  std::set<EntryId> required;
  for (const ViewMember& member : this->membership.view().members) {
    required.insert(member.entry);
  }
  for (const EntryId lost : this->UnreplicatedLosses(id)) required.insert(lost);
  required.erase(this->settings.self);
  if (bucket.former_home) required.erase(*bucket.former_home);
  return required;
}

bool Ownership::HasAllEntryPromises(BucketId id,
                                    const BucketState& bucket) const {
  const std::set<EntryId> required = this->RequiredEntries(id, bucket);
  return std::includes(bucket.entry_promises.begin(),
                       bucket.entry_promises.end(), required.begin(),
                       required.end());
}

bool Ownership::HasAllAgentPromises(const BucketState& bucket) const {
  if (!this->membership.IsSynchronized()) return false;
  return std::all_of(this->agents.all().begin(), this->agents.all().end(),
                     [&](const auto& item) {
                       return bucket.agent_promises.contains(item.first);
                     });
}

std::optional<Timestamp> Ownership::EntriesDeadSince(
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

std::optional<Timestamp> Ownership::AgentsDeadSince(
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

std::optional<Timestamp> Ownership::DeadSince(EntryId entry) const {
  for (const EntryLoss& loss : this->membership.view().losses) {
    if (loss.entry == entry && loss.proof == LossProof::kProvenDead) {
      return loss.lost_at;
    }
  }
  return this->peers.DeadSince(entry);
}

bool Ownership::IsFullyRecovered(BucketId id, const BucketState& bucket) const {
  return this->HasAllEntryPromises(id, bucket) ||
         this->HasAllAgentPromises(bucket);
}

bool Ownership::TryActivate(BucketId id, BucketState& bucket, Timestamp now) {
  if (!this->IsFullyRecovered(id, bucket)) {
    if (now < this->ReplyDeadline(bucket)) return false;
    const std::optional<Timestamp> entries = this->EntriesDeadSince(id, bucket);
    const std::optional<Timestamp> agents_dead = this->AgentsDeadSince(bucket);
    const bool leases_over =
        now >= bucket.begun_at + this->settings.lease_over_after;
    if (!entries && !agents_dead && !leases_over) return false;
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
