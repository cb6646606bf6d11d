#include "libraries/entry_core/ownership.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {

Ownership::Ownership(const EntryCoreSettings& configured,
                     const AgentRegistry& registry,
                     const PeerDirectory& directory, EntryOutbox& effects)
    : settings(configured),
      agents(registry),
      peers(directory),
      outbox(effects),
      buckets(configured.bucket_count),
      rankings(configured.bucket_count) {}

std::vector<BucketId> Ownership::AdoptView(const View& view) {
  this->current_view = view;
  std::vector<BucketId> released;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    this->rankings[i] = view.Ranking(id);
    if (this->Get(id).phase == OwnershipPhase::kNone) continue;
    this->Release(id);
    released.push_back(id);
  }
  return released;
}

OwnershipPhase Ownership::Phase(BucketId bucket) const {
  const Bucket& state = this->Get(bucket);
  return state.mine == state.promised ? state.phase : OwnershipPhase::kNone;
}

Ballot Ownership::Promised(BucketId bucket) const {
  return this->Get(bucket).promised;
}

std::vector<BucketBallot> Ownership::Promises() const {
  std::vector<BucketBallot> result;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const Ballot& promised = this->buckets[i].promised;
    if (!promised.IsNone()) result.push_back({BucketId(i), promised});
  }
  return result;
}

EntryId Ownership::ExpectedHome(BucketId bucket, Timestamp now) const {
  const Ballot& promised = this->Get(bucket).promised;
  const bool current =
      promised.epoch >= this->current_view.epoch && !promised.IsNone();
  const auto acts = [&](EntryId entry) {
    return entry == this->settings.self || !this->peers.IsSuspected(entry, now);
  };
  const bool is_member = this->current_view.Find(promised.entry) != nullptr;
  if (current && is_member && acts(promised.entry)) return promised.entry;
  for (const EntryId entry : this->rankings[bucket.value()]) {
    if (acts(entry)) return entry;
  }
  return EntryId();
}

std::vector<BucketId> Ownership::TakeUnsettledHomes(Timestamp now) {
  std::vector<EntryId> suspects = this->peers.Suspected(now);
  const bool all = this->searched_epoch != this->current_view.epoch ||
                   this->suspected != suspects;
  this->searched_epoch = this->current_view.epoch;
  this->suspected = std::move(suspects);
  std::vector<BucketId> unsettled;
  if (all) {
    for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
      unsettled.emplace_back(i);
    }
  } else {
    unsettled.assign(this->moved.begin(), this->moved.end());
  }
  this->moved.clear();
  return unsettled;
}

bool Ownership::IsVacant(BucketId bucket, Timestamp now) const {
  if (this->Phase(bucket) != OwnershipPhase::kNone) return false;
  if (this->Get(bucket).promised.epoch > this->current_view.epoch) return false;
  return this->ExpectedHome(bucket, now) == this->settings.self;
}

void Ownership::AcquireVacant(Timestamp now) {
  std::vector<BucketId> candidates = this->TakeUnsettledHomes(now);
  if (this->current_view.Find(this->settings.self) == nullptr) return;
  this->examined += candidates.size();
  std::erase_if(candidates,
                [&](BucketId id) { return !this->IsVacant(id, now); });
  this->Acquire(candidates, now);
}

std::optional<EntryId> Ownership::WitnessFor(BucketId bucket,
                                             Timestamp now) const {
  for (const EntryId entry : this->rankings[bucket.value()]) {
    if (entry == this->settings.self) continue;
    if (this->peers.IsSuspected(entry, now)) continue;
    if (this->peers.IsConnected(entry)) return entry;
  }
  return std::nullopt;
}

bool Ownership::Observe(const BucketBallot& seen) {
  if (seen.bucket.value() >= this->buckets.size()) return false;
  Bucket& bucket = this->Get(seen.bucket);
  if (seen.ballot <= bucket.promised) return false;
  bucket.promised = seen.ballot;
  this->moved.insert(seen.bucket);
  if (bucket.phase == OwnershipPhase::kNone) return false;
  this->Release(seen.bucket);
  return true;
}

void Ownership::Acquire(const std::vector<BucketId>& wanted, Timestamp now) {
  if (wanted.empty()) return;
  std::vector<BucketBallot> begun;
  for (const BucketId id : wanted) {
    this->Begin(id, now);
    begun.push_back({id, this->Get(id).mine});
  }
  this->outbox.Add(OwnershipChanged{OwnershipPhase::kCollecting, begun});
  this->RepeatRequests();
}

void Ownership::RepeatRequests() {
  std::map<EntryId, PromiseRequest> to_entries;
  std::map<AgentId, PromiseRequest> to_agents;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    const Bucket& bucket = this->Get(id);
    if (this->Phase(id) == OwnershipPhase::kNone) continue;
    for (const ViewMember& member : this->current_view.members) {
      if (member.entry == this->settings.self) continue;
      if (bucket.entry_promises.contains(member.entry)) continue;
      to_entries[member.entry].buckets.push_back({id, bucket.mine});
    }
    // A former home that has left the view still knows its keys.
    const bool former_left =
        bucket.exempt && this->current_view.Find(*bucket.exempt) == nullptr &&
        !bucket.entry_promises.contains(*bucket.exempt);
    if (former_left) {
      to_entries[*bucket.exempt].buckets.push_back({id, bucket.mine});
    }
    for (const auto& [agent, known] : this->agents.all()) {
      if (!known.connected || bucket.agent_promises.contains(agent)) continue;
      to_agents[agent].buckets.push_back({id, bucket.mine});
    }
  }
  for (auto& [entry, request] : to_entries) {
    if (!this->peers.IsConnected(entry)) continue;
    this->outbox.ToPeer(entry, std::move(request));
  }
  for (auto& [agent, request] : to_agents) {
    this->outbox.ToAgent(agent, std::move(request));
  }
}

std::vector<BucketId> Ownership::OnPromiseRequest(
    EntryId from, const PromiseRequest& request) {
  std::vector<BucketId> lost;
  PromiseReply reply;
  for (const BucketBallot& asked : request.buckets) {
    if (asked.bucket.value() >= this->buckets.size()) continue;
    const Ballot previous = this->Get(asked.bucket).promised;
    if (this->Observe(asked)) lost.push_back(asked.bucket);
    const Bucket& bucket = this->Get(asked.bucket);
    const bool granted =
        bucket.promised == asked.ballot && asked.ballot.entry == from;
    BucketPromise promise{
        asked.bucket, bucket.promised,        granted, {}, previous,
        bucket.held,  bucket.knows_all_starts};
    if (granted) promise.known = this->KeysOf(asked.bucket);
    reply.buckets.push_back(std::move(promise));
  }
  this->outbox.ToPeer(from, std::move(reply));
  return lost;
}

std::vector<BucketId> Ownership::OnPromiseReply(EntryId from,
                                                const PromiseReply& reply,
                                                Timestamp now) {
  std::vector<BucketId> lost;
  for (const BucketPromise& promise : reply.buckets) {
    if (promise.bucket.value() >= this->buckets.size()) continue;
    Bucket& bucket = this->Get(promise.bucket);
    if (!promise.granted) {
      if (this->Observe({promise.bucket, promise.ballot})) {
        lost.push_back(promise.bucket);
      }
      continue;
    }
    const bool mine =
        bucket.phase != OwnershipPhase::kNone && promise.ballot == bucket.mine;
    if (!mine) continue;
    // A repeated answer comes after the promise and tells nothing of before.
    if (bucket.entry_promises.insert(from).second) {
      this->promises_changed = true;
      bucket.predecessors[from] = {promise.previous, promise.held,
                                   promise.knew_all_starts};
    }
    for (const KnownKey& known : promise.known) {
      // A key that came to this entry under its own ballot stays its own; any
      // other may have been started by a former home.
      const KeyRecord carried{known.first_seen, now, KeyOrigin::kCarried};
      const auto [record, inserted] = bucket.known.emplace(known.key, carried);
      record->second.first_seen =
          std::min(record->second.first_seen, known.first_seen);
      if (bucket.phase == OwnershipPhase::kCollecting) {
        record->second.origin = KeyOrigin::kCarried;
      }
    }
  }
  return lost;
}

std::vector<BucketId> Ownership::OnAgentPromiseReply(
    AgentId from, const AgentPromiseReply& reply, Timestamp now) {
  std::vector<BucketId> lost;
  std::set<BucketId> accepted;
  for (const AgentBucketPromise& promise : reply.buckets) {
    if (promise.bucket.value() >= this->buckets.size()) continue;
    Bucket& bucket = this->Get(promise.bucket);
    if (!promise.granted) {
      if (this->Observe({promise.bucket, promise.ballot})) {
        lost.push_back(promise.bucket);
      }
      continue;
    }
    const bool mine =
        bucket.phase != OwnershipPhase::kNone && promise.ballot == bucket.mine;
    // Only the first answer describes what was started before the promise.
    if (mine && bucket.agent_promises.insert(from).second) {
      accepted.insert(promise.bucket);
      this->promises_changed = true;
    }
  }
  for (const StartedJob& job : reply.started) {
    const BucketId id = this->BucketOfKey(job.key);
    if (!accepted.contains(id)) continue;
    Bucket& bucket = this->Get(id);
    // Only the agent knows the key, so it may be as old as any that it keeps.
    const KeyRecord record{now - this->settings.duplicate_window, now,
                           KeyOrigin::kCarried};
    bucket.known.emplace(job.key, record);
    std::vector<FoundTask>& found = bucket.found[job.key];
    for (const TaskIndex task : job.tasks) found.push_back({task, from});
  }
  return lost;
}

void Ownership::RequestFromAgent(AgentId agent) {
  PromiseRequest request;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->Phase(id) == OwnershipPhase::kNone) continue;
    if (this->AgentPromised(id, agent)) continue;
    request.buckets.push_back({id, this->Get(id).mine});
  }
  if (!request.buckets.empty()) {
    this->outbox.ToAgent(agent, std::move(request));
  }
}

Ownership::Activation Ownership::ActivateReady(Timestamp now) {
  Activation result;
  std::vector<BucketBallot> ballots;
  const std::set<BucketId> waiting = this->unfinished;
  const bool changed = std::exchange(this->promises_changed, false);
  for (const BucketId id : waiting) {
    Bucket& bucket = this->Get(id);
    const bool is_active = bucket.phase == OwnershipPhase::kActive;
    const bool time_matters = !is_active && now >= this->PatientUntil(bucket);
    if (!changed && !time_matters) continue;
    ++this->examined;
    if (is_active) {
      if (!this->IsWhole(id, bucket)) continue;
      bucket.fresh_after.reset();
      this->unfinished.erase(id);
      result.made_whole.push_back(id);
      continue;
    }
    if (!this->TryActivate(id, bucket, now)) continue;
    result.activated.push_back(id);
    ballots.push_back({id, bucket.mine});
    if (bucket.fresh_after) continue;
    this->unfinished.erase(id);
    result.made_whole.push_back(id);
  }
  if (!ballots.empty()) {
    this->outbox.Add(
        OwnershipChanged{OwnershipPhase::kActive, std::move(ballots)});
  }
  return result;
}

void Ownership::Remember(const KnownKey& known, Timestamp now) {
  Bucket& bucket = this->Get(this->BucketOfKey(known.key));
  const KeyRecord own{known.first_seen, now, KeyOrigin::kOwn};
  const auto [record, inserted] = bucket.known.emplace(known.key, own);
  record->second.last_heard = now;
}

void Ownership::RememberCarried(const KnownKey& known, Timestamp now) {
  Bucket& bucket = this->Get(this->BucketOfKey(known.key));
  bucket.known.emplace(known.key,
                       KeyRecord{known.first_seen, now, KeyOrigin::kCarried});
}

void Ownership::Close(const JobKey& key, Timestamp now) {
  Bucket& bucket = this->Get(this->BucketOfKey(key));
  const auto record = bucket.known.find(key);
  if (record == bucket.known.end()) return;
  record->second.origin = KeyOrigin::kClosed;
  record->second.last_heard = now;
}

void Ownership::Reopen(const JobKey& key, std::vector<FoundTask> started) {
  Bucket& bucket = this->Get(this->BucketOfKey(key));
  const auto record = bucket.known.find(key);
  if (record == bucket.known.end()) return;
  record->second.origin = KeyOrigin::kCarried;
  bucket.found[key] = std::move(started);
}

KeyStanding Ownership::StandingOf(const JobSubmission& job, Timestamp now) {
  Bucket& bucket = this->Get(this->BucketOfKey(job.key));
  const auto record = bucket.known.find(job.key);
  if (record != bucket.known.end()) {
    switch (record->second.origin) {
      case KeyOrigin::kOwn:
        return KeyStanding::kFresh;
      case KeyOrigin::kCarried:
        return KeyStanding::kCarried;
      case KeyOrigin::kClosed:
        return KeyStanding::kClosed;
    }
  }
  // Jobs that may run again have no witness, so a former home's starts are
  // known from itself or from agents.
  if (job.rerun == RerunPolicy::kAfterLease) {
    return this->KnowsAllStarts(bucket, now) ? KeyStanding::kFresh
                                             : KeyStanding::kUnsettled;
  }
  if (!bucket.fresh_after) return KeyStanding::kFresh;
  const bool younger = job.created && *bucket.fresh_after < Timestamp::max() &&
                       *job.created > *bucket.fresh_after + kClockSkewLimit;
  return younger ? KeyStanding::kFresh : KeyStanding::kUnknowable;
}

bool Ownership::KnowsAllStarts(Bucket& bucket, Timestamp now) const {
  // From then on this entry starts whatever is started.
  bucket.knows_all_starts = bucket.knows_all_starts ||
                            this->LearnedFromFormerHome(bucket) ||
                            this->RunsAreSettled(bucket, now);
  return bucket.knows_all_starts;
}

bool Ownership::LearnedFromFormerHome(const Bucket& bucket) const {
  Ballot latest;
  for (const ViewMember& member : this->current_view.members) {
    if (!bucket.predecessors.contains(member.entry)) return false;
  }
  for (const auto& [entry, before] : bucket.predecessors) {
    latest = std::max(latest, before.promised);
  }
  const auto former = bucket.predecessors.find(latest.entry);
  return !latest.IsNone() && former != bucket.predecessors.end() &&
         former->second.held == latest && former->second.knew_all_starts;
}

bool Ownership::RunsAreSettled(const Bucket& bucket, Timestamp now) const {
  // Agents that nobody has told of may only be there in the beginning.
  if (!this->synchronized && !this->HasOutlivedLeases(now)) return false;
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
  const Duration lease_over = this->settings.lease_over_after;
  if (agent.lost_at) {
    // A dead process extends no lease, whatever it has heard.
    return agent.ended_idle ||
           now >= *agent.lost_at + lease_over - kContactLimit;
  }
  const Timestamp over_at = agent.contact_at + lease_over;
  if (now < over_at) return false;
  return std::all_of(
      this->current_view.members.begin(), this->current_view.members.end(),
      [&](const ViewMember& member) {
        if (member.entry == this->settings.self) return true;
        // It would have told of a contact that kept the runs alive.
        if (this->peers.InformedAsOf(member.entry) >= over_at) return true;
        return now >= this->peers.MayActUntil(member.entry) + lease_over;
      });
}

bool Ownership::HasRunsOfLostAgents(const Bucket& bucket, const JobKey& key,
                                    Timestamp now) const {
  const auto found = bucket.found.find(key);
  if (found == bucket.found.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const FoundTask& task) {
                       const KnownAgent* holder = this->agents.Find(task.agent);
                       return holder != nullptr && holder->lost_at &&
                              !this->RunsAreOver(*holder, now);
                     });
}

HistoryState Ownership::HistoryOf(const JobSubmission& job,
                                  Timestamp now) const {
  const Bucket& bucket = this->Get(this->BucketOfKey(job.key));
  if (job.rerun == RerunPolicy::kAfterLease) {
    const bool settled = this->RunsAreSettled(bucket, now) &&
                         !this->HasRunsOfLostAgents(bucket, job.key, now);
    return settled ? HistoryState::kComplete : HistoryState::kIncomplete;
  }
  const auto record = bucket.known.find(job.key);
  const Timestamp first_seen = record == bucket.known.end()
                                   ? Timestamp::min()
                                   : record->second.first_seen;
  if (!this->synchronized) return HistoryState::kIncomplete;
  HistoryState state = HistoryState::kComplete;
  for (const auto& [agent, known] : this->agents.all()) {
    if (bucket.agent_promises.contains(agent)) continue;
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

std::vector<FoundTask> Ownership::FoundTasks(const JobKey& key) const {
  const Bucket& bucket = this->Get(this->BucketOfKey(key));
  const auto found = bucket.found.find(key);
  return found == bucket.found.end() ? std::vector<FoundTask>() : found->second;
}

bool Ownership::AgentPromised(BucketId bucket, AgentId agent) const {
  return this->Get(bucket).agent_promises.contains(agent);
}

std::vector<KnownKey> Ownership::KeysOf(BucketId bucket) const {
  std::vector<KnownKey> keys;
  keys.reserve(this->Get(bucket).known.size());
  for (const auto& [key, record] : this->Get(bucket).known) {
    keys.push_back({key, record.first_seen});
  }
  std::sort(keys.begin(), keys.end(),
            [](const KnownKey& left, const KnownKey& right) {
              return left.key < right.key;
            });
  return keys;
}

std::vector<KnownKey> Ownership::AllKeys() const {
  std::vector<KnownKey> keys;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const std::vector<KnownKey> some = this->KeysOf(BucketId(i));
    keys.insert(keys.end(), some.begin(), some.end());
  }
  return keys;
}

std::size_t Ownership::KnownKeyCount() const {
  std::size_t count = 0;
  for (const Bucket& bucket : this->buckets) count += bucket.known.size();
  return count;
}

std::vector<EntryId> Ownership::UnhealedLosses(BucketId bucket) const {
  std::vector<EntryId> unhealed;
  for (const EntryLoss& loss : this->current_view.losses) {
    if (!this->Get(bucket).healed.contains(loss.entry)) {
      unhealed.push_back(loss.entry);
    }
  }
  return unhealed;
}

void Ownership::MarkHealed(BucketId bucket, EntryId lost) {
  if (bucket.value() >= this->buckets.size()) return;
  this->Get(bucket).healed.insert(lost);
  this->promises_changed = true;
}

void Ownership::Expire(Timestamp horizon) {
  // Lost agents are forgotten at the same time.
  this->promises_changed = true;
  for (Bucket& bucket : this->buckets) {
    std::erase_if(bucket.known, [&](const auto& item) {
      return item.second.last_heard < horizon;
    });
    std::erase_if(bucket.found, [&](const auto& item) {
      return !bucket.known.contains(item.first);
    });
  }
}

void Ownership::Begin(BucketId id, Timestamp now) {
  Bucket& bucket = this->Get(id);
  this->unfinished.insert(id);
  this->promises_changed = true;
  const Ballot previous = bucket.promised;
  bucket.predecessors.clear();
  bucket.predecessors[this->settings.self] = {previous, bucket.held,
                                              bucket.knows_all_starts};
  bucket.knows_all_starts = false;
  bucket.exempt.reset();
  const bool other_home =
      !previous.IsNone() && previous.entry != this->settings.self;
  if (other_home) bucket.exempt = previous.entry;
  bucket.mine.epoch = this->current_view.epoch;
  bucket.mine.round =
      previous.epoch == this->current_view.epoch ? previous.round + 1 : 0;
  bucket.mine.entry = this->settings.self;
  bucket.promised = bucket.mine;
  bucket.phase = OwnershipPhase::kCollecting;
  bucket.begun_at = now;
  bucket.entry_promises.clear();
  bucket.agent_promises.clear();
  bucket.found.clear();
  bucket.fresh_after.reset();
  for (auto& [key, record] : bucket.known) {
    record.origin = KeyOrigin::kCarried;
  }
}

void Ownership::Release(BucketId id) {
  Bucket& bucket = this->Get(id);
  this->unfinished.erase(id);
  this->moved.insert(id);
  bucket.phase = OwnershipPhase::kNone;
  bucket.found.clear();
  bucket.entry_promises.clear();
  bucket.agent_promises.clear();
}

std::set<EntryId> Ownership::RequiredEntries(BucketId id,
                                             const Bucket& bucket) const {
  std::set<EntryId> required;
  for (const ViewMember& member : this->current_view.members) {
    required.insert(member.entry);
  }
  for (const EntryId lost : this->UnhealedLosses(id)) required.insert(lost);
  required.erase(this->settings.self);
  if (bucket.exempt) required.erase(*bucket.exempt);
  return required;
}

bool Ownership::HaveAllEntries(BucketId id, const Bucket& bucket) const {
  const std::set<EntryId> required = this->RequiredEntries(id, bucket);
  return std::includes(bucket.entry_promises.begin(),
                       bucket.entry_promises.end(), required.begin(),
                       required.end());
}

bool Ownership::HaveAllAgents(const Bucket& bucket) const {
  if (!this->synchronized) return false;
  return std::all_of(this->agents.all().begin(), this->agents.all().end(),
                     [&](const auto& item) {
                       return bucket.agent_promises.contains(item.first);
                     });
}

std::optional<Timestamp> Ownership::EntriesDeadSince(
    BucketId id, const Bucket& bucket) const {
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
    const Bucket& bucket) const {
  if (!this->synchronized) return std::nullopt;
  Timestamp latest = Timestamp::min();
  for (const auto& [agent, known] : this->agents.all()) {
    if (bucket.agent_promises.contains(agent)) continue;
    if (!known.lost_at) return std::nullopt;
    latest = std::max(latest, *known.lost_at);
  }
  return latest;
}

std::optional<Timestamp> Ownership::DeadSince(EntryId entry) const {
  for (const EntryLoss& loss : this->current_view.losses) {
    if (loss.entry == entry && loss.proof == LossProof::kProvenDead) {
      return loss.lost_at;
    }
  }
  return this->peers.DeadSince(entry);
}

bool Ownership::IsWhole(BucketId id, const Bucket& bucket) const {
  return this->HaveAllEntries(id, bucket) || this->HaveAllAgents(bucket);
}

bool Ownership::TryActivate(BucketId id, Bucket& bucket, Timestamp now) {
  if (!this->IsWhole(id, bucket)) {
    if (now < this->PatientUntil(bucket)) return false;
    const std::optional<Timestamp> entries = this->EntriesDeadSince(id, bucket);
    const std::optional<Timestamp> agents_dead = this->AgentsDeadSince(bucket);
    const bool leases_over =
        now >= bucket.begun_at + this->settings.lease_over_after;
    if (!entries && !agents_dead && !leases_over) return false;
    // Where something is only silent, no key is young enough; jobs that may run
    // again need no more than the end of all leases.
    bucket.fresh_after = std::min(entries.value_or(Timestamp::max()),
                                  agents_dead.value_or(Timestamp::max()));
  }
  bucket.phase = OwnershipPhase::kActive;
  bucket.held = bucket.mine;
  return true;
}

}  // namespace dandelionspur
