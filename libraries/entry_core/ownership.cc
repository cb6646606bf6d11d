#include "libraries/entry_core/ownership.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libraries/entry_core/move_reason.h"

namespace dandelionspur {
namespace {

// Agents do not confirm what they have read. One that has not answered for this
// long is asked again, for a part that is as small as the first.
constexpr Duration kAgentReplyLimit = std::chrono::milliseconds(500);

}  // namespace

Ownership::Ownership(const EntryCoreSettings& configured,
                     const AgentRegistry& registry,
                     const PeerDirectory& directory,
                     const AgentContacts& agent_contacts, EntryOutbox& effects)
    : settings(configured),
      agents(registry),
      peers(directory),
      contacts(agent_contacts),
      outbox(effects),
      buckets(configured.bucket_count),
      rankings(configured.bucket_count) {}

Ownership::ViewChange Ownership::AdoptView(const View& view, Timestamp now) {
  for (const BucketId id : this->ActiveBuckets()) {
    // Judged by the view in which the promises were made.
    this->AllStartsRecorded(this->Get(id), now);
  }
  this->current_view = view;
  this->RecordMembership();
  ViewChange change;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    this->rankings[i] = view.Ranking(id);
    if (this->Get(id).phase == OwnershipPhase::kNone) continue;
    if (this->MayKeep(id)) {
      change.kept.push_back(id);
      continue;
    }
    this->Release(id);
    change.released.push_back(id);
  }
  return change;
}

void Ownership::RecordMembership() {
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

std::vector<BucketId> Ownership::ActiveBuckets() const {
  std::vector<BucketId> active;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    if (this->IsActive(BucketId(i))) active.emplace_back(i);
  }
  return active;
}

bool Ownership::MayKeep(BucketId id) const {
  const std::vector<EntryId>& ranking = this->rankings[id.value()];
  const bool stays_home = this->IsActive(id) && !ranking.empty() &&
                          ranking.front() == this->settings.self &&
                          !this->incomplete_buckets.contains(id);
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

bool Ownership::MayWitness(EntryId entry, BucketId bucket) const {
  const auto since = this->member_since.find(entry);
  return since != this->member_since.end() &&
         since->second <= this->Get(bucket).promised.epoch;
}

OwnershipPhase Ownership::Phase(BucketId bucket) const {
  const Bucket& state = this->Get(bucket);
  return state.own_ballot == state.promised ? state.phase
                                            : OwnershipPhase::kNone;
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
  // A ballot of an earlier view is in force only if its owner has kept the
  // bucket, which it does only where it ranks first.
  const Ballot& promised = this->Get(bucket).promised;
  const bool current =
      promised.epoch >= this->current_view.epoch && !promised.IsNone();
  const auto acts = [&](EntryId entry) {
    return entry == this->settings.self || !this->peers.IsSuspected(entry, now);
  };
  const bool is_member = this->current_view.Find(promised.entry) != nullptr;
  if (current && is_member && acts(promised.entry)) return promised.entry;
  // If all decline, one of them must act.
  EntryId first;
  for (const EntryId entry : this->rankings[bucket.value()]) {
    if (!acts(entry)) continue;
    const bool takes = entry == promised.entry || !this->peers.Declines(entry);
    if (takes) return entry;
    if (first == EntryId()) first = entry;
  }
  return first;
}

std::vector<BucketId> Ownership::TakeBucketsToCheck(Timestamp now) {
  std::vector<EntryId> suspects = this->peers.Suspected(now);
  const bool all = this->searched_epoch != this->current_view.epoch ||
                   this->suspected != suspects ||
                   this->searched_declines != this->peers.DeclineChanges();
  this->searched_declines = this->peers.DeclineChanges();
  this->searched_epoch = this->current_view.epoch;
  this->suspected = std::move(suspects);
  std::vector<BucketId> to_check;
  if (all) {
    for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
      to_check.emplace_back(i);
    }
  } else {
    to_check.assign(this->changed_buckets.begin(), this->changed_buckets.end());
  }
  this->changed_buckets.clear();
  return to_check;
}

bool Ownership::IsVacant(BucketId bucket, Timestamp now) const {
  if (this->Phase(bucket) != OwnershipPhase::kNone) return false;
  if (this->Get(bucket).promised.epoch > this->current_view.epoch) return false;
  return this->ExpectedHome(bucket, now) == this->settings.self;
}

void Ownership::AcquireVacant(Timestamp now) {
  std::vector<BucketId> candidates = this->TakeBucketsToCheck(now);
  if (this->current_view.Find(this->settings.self) == nullptr) return;
  this->examined += candidates.size();
  std::erase_if(candidates,
                [&](BucketId id) { return !this->IsVacant(id, now); });
  this->Acquire(candidates, now);
}

std::optional<EntryId> Ownership::WitnessFor(BucketId bucket,
                                             const std::set<EntryId>& excluded,
                                             Timestamp now) const {
  for (const EntryId entry : this->rankings[bucket.value()]) {
    if (entry == this->settings.self || excluded.contains(entry)) continue;
    if (this->peers.IsSuspected(entry, now)) continue;
    if (!this->MayWitness(entry, bucket)) continue;
    if (this->peers.IsConnected(entry)) return entry;
  }
  return std::nullopt;
}

std::optional<EntryId> Ownership::OldestConnectedMember(Timestamp now) const {
  std::optional<EntryId> oldest;
  for (const auto& [entry, since] : this->member_since) {
    if (entry == this->settings.self) continue;
    if (this->peers.IsSuspected(entry, now)) continue;
    if (!this->peers.IsConnected(entry)) continue;
    if (oldest && this->member_since.at(*oldest) <= since) continue;
    oldest = entry;
  }
  return oldest;
}

bool Ownership::Observe(const BucketBallot& seen) {
  if (seen.bucket.value() >= this->buckets.size()) return false;
  Bucket& bucket = this->Get(seen.bucket);
  if (seen.ballot <= bucket.promised) return false;
  bucket.promised = seen.ballot;
  this->changed_buckets.insert(seen.bucket);
  if (bucket.phase == OwnershipPhase::kNone) return false;
  this->Release(seen.bucket);
  return true;
}

void Ownership::Acquire(const std::vector<BucketId>& wanted, Timestamp now) {
  if (wanted.empty()) return;
  std::map<MoveReason, std::vector<BucketBallot>> begun;
  for (const BucketId id : wanted) {
    const MoveReason reason = ReasonToMove(
        this->Get(id).promised, this->current_view, this->peers, now);
    this->BeginAcquisition(id, now);
    begun[reason].push_back({id, this->Get(id).own_ballot});
  }
  for (auto& [reason, ballots] : begun) {
    this->outbox.Add(OwnershipChanged{OwnershipPhase::kCollecting,
                                      std::move(ballots), reason});
  }
  this->RequestMissing(now);
}

void Ownership::RequestMissing(Timestamp now) {
  for (const EntryId entry : this->EntriesToAsk()) {
    // Messages between two processes arrive in order: the entry has answered
    // the request before it confirmed a later heartbeat.
    const std::optional<Timestamp> sent = this->entry_requests.SentAt(entry);
    const bool is_lost = sent && this->peers.ConfirmedAt(entry) > *sent;
    if (is_lost) this->entry_requests.Abandon(entry);
    this->RequestFrom(entry, now);
  }
  for (const AgentId agent : this->agents.Connected()) {
    const std::optional<Timestamp> sent = this->agent_requests.SentAt(agent);
    const bool is_lost = sent && now - *sent > kAgentReplyLimit;
    if (is_lost) this->agent_requests.Abandon(agent);
    this->RequestFrom(agent, now);
  }
}

std::set<EntryId> Ownership::EntriesToAsk() const {
  std::set<EntryId> entries;
  for (const ViewMember& member : this->current_view.members) {
    entries.insert(member.entry);
  }
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const bool has_former_home =
        this->buckets[i].former_home.has_value() &&
        this->Phase(BucketId(i)) != OwnershipPhase::kNone;
    if (has_former_home) entries.insert(*this->buckets[i].former_home);
  }
  return entries;
}

std::uint32_t Ownership::MaximumListed() const {
  // About 120 kB, which is 40 ms of a link of 25 Mbit/s.
  constexpr std::size_t kListedInAllReplies = 4096;
  constexpr std::size_t kLeast = 64;
  constexpr std::size_t kMost = 1024;
  const std::size_t responders =
      this->current_view.members.size() + this->agents.all().size();
  return static_cast<std::uint32_t>(
      std::clamp(kListedInAllReplies / std::max<std::size_t>(responders, 1),
                 kLeast, kMost));
}

void Ownership::ResumeFrom(EntryId entry, Timestamp now) {
  this->entry_requests.Abandon(entry);
  this->RequestFrom(entry, now);
}

void Ownership::ResumeFrom(AgentId agent, Timestamp now) {
  this->agent_requests.Abandon(agent);
  this->RequestFrom(agent, now);
}

void Ownership::RequestFrom(EntryId entry, Timestamp now) {
  if (!this->peers.IsConnected(entry)) return;
  if (this->entry_requests.IsUnderWay(entry)) return;
  std::vector<BucketBallot> missing;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->Phase(id) == OwnershipPhase::kNone) continue;
    if (!this->NeedsPromiseOf(entry, this->Get(id))) continue;
    missing.push_back({id, this->Get(id).own_ballot});
  }
  if (missing.empty()) return;
  this->outbox.ToPeer(entry,
                      this->entry_requests.Begin(entry, std::move(missing),
                                                 this->MaximumListed(), now));
}

void Ownership::RequestFrom(AgentId agent, Timestamp now) {
  if (this->agent_requests.IsUnderWay(agent)) return;
  std::vector<BucketBallot> missing;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->Phase(id) == OwnershipPhase::kNone) continue;
    if (this->AgentPromised(id, agent)) continue;
    missing.push_back({id, this->Get(id).own_ballot});
  }
  if (missing.empty()) return;
  this->outbox.ToAgent(agent,
                       this->agent_requests.Begin(agent, std::move(missing),
                                                  this->MaximumListed(), now));
}

bool Ownership::NeedsPromiseOf(EntryId entry, const Bucket& bucket) const {
  if (entry == this->settings.self) return false;
  if (bucket.entry_promises.contains(entry)) return false;
  const auto since = this->member_since.find(entry);
  // A former home that has left the view can still report its keys.
  if (since == this->member_since.end()) return bucket.former_home == entry;
  // A kept bucket needs no promise of an entry that has joined since.
  return since->second <= bucket.own_ballot.epoch;
}

std::vector<BucketId> Ownership::OnPromiseRequest(
    EntryId from, const PromiseRequest& request) {
  std::vector<BucketId> lost;
  PromiseReply reply;
  reply.part.sequence = request.sequence;
  const bool is_limited = request.maximum_listed > 0;
  std::size_t room = is_limited ? request.maximum_listed
                                : std::numeric_limits<std::size_t>::max();
  for (const BucketBallot& asked : request.buckets) {
    if (asked.bucket.value() >= this->buckets.size()) continue;
    // A promise without the bucket's keys is worth nothing, and would stop the
    // present home too early.
    if (room == 0 || reply.part.resume_after) break;
    const Ballot previous = this->Get(asked.bucket).promised;
    if (this->Observe(asked)) lost.push_back(asked.bucket);
    const Bucket& bucket = this->Get(asked.bucket);
    const bool granted =
        bucket.promised == asked.ballot && asked.ballot.entry == from;
    BucketPromise promise{
        asked.bucket, bucket.promised,           granted, {}, previous,
        bucket.held,  bucket.all_starts_recorded};
    if (granted) {
      const bool continues = asked.bucket == request.buckets.front().bucket;
      if (continues) reply.part.after = request.after;
      KeyList list =
          bucket.keys.ListAfter(continues ? request.after : std::nullopt, room);
      room -= list.keys.size();
      promise.known = std::move(list.keys);
      if (!list.is_complete) reply.part.resume_after = promise.known.back().key;
    }
    reply.buckets.push_back(std::move(promise));
  }
  this->outbox.ToPeer(from, std::move(reply));
  return lost;
}

std::vector<BucketId> Ownership::OnPromiseReply(EntryId from,
                                                const PromiseReply& reply,
                                                Timestamp now) {
  std::vector<BucketId> lost;
  const std::vector<PromisePart> parts = PartsOf(reply.buckets, reply.part);
  for (std::size_t i = 0; i < reply.buckets.size(); ++i) {
    const BucketPromise& promise = reply.buckets[i];
    if (promise.bucket.value() >= this->buckets.size()) continue;
    Bucket& bucket = this->Get(promise.bucket);
    if (!promise.granted) {
      if (this->Observe({promise.bucket, promise.ballot})) {
        lost.push_back(promise.bucket);
      }
      continue;
    }
    const bool for_own_ballot = bucket.phase != OwnershipPhase::kNone &&
                                promise.ballot == bucket.own_ballot;
    if (!for_own_ballot) continue;
    this->AddPromise(from, promise, parts[i]);
    // Keys that this entry received under its own ballot keep their origin; any
    // other key may have been started by a former home.
    const RecordedKeys recorded = bucket.phase == OwnershipPhase::kCollecting
                                      ? RecordedKeys::kBecomeInherited
                                      : RecordedKeys::kKeepOrigin;
    for (const KnownKey& known : promise.known) {
      bucket.keys.MergePromised(known, recorded, now);
    }
  }
  this->entry_requests.End(from, reply.part.sequence);
  // An entry that can promise none of the buckets would be asked again and
  // again without a pause.
  if (!reply.buckets.empty()) this->RequestFrom(from, now);
  return lost;
}

void Ownership::AddPromise(EntryId from, const BucketPromise& promise,
                           const PromisePart& part) {
  Bucket& bucket = this->Get(promise.bucket);
  const PartUse use = this->entry_requests.Add(
      from, {{promise.bucket, promise.ballot}, part.after, part.resume_after});
  if (use == PartUse::kNone) return;
  // Only the first reply describes the state before the promise.
  bucket.prior_states.try_emplace(
      from,
      PriorState{promise.previous, promise.held, promise.knew_all_starts});
  if (use != PartUse::kCompletes) return;
  if (!bucket.entry_promises.insert(from).second) return;
  this->promises_changed = true;
}

std::vector<BucketId> Ownership::OnAgentPromiseReply(
    AgentId from, const AgentPromiseReply& reply, Timestamp now) {
  std::vector<BucketId> lost;
  std::set<BucketId> accepted;
  const std::vector<PromisePart> parts = PartsOf(reply.buckets, reply.part);
  for (std::size_t i = 0; i < reply.buckets.size(); ++i) {
    const AgentBucketPromise& promise = reply.buckets[i];
    if (promise.bucket.value() >= this->buckets.size()) continue;
    if (!promise.granted) {
      if (this->Observe({promise.bucket, promise.ballot})) {
        lost.push_back(promise.bucket);
      }
      continue;
    }
    if (this->AddPromise(from, promise, parts[i])) {
      accepted.insert(promise.bucket);
    }
  }
  for (const StartedJob& job : reply.started) {
    const BucketId id = this->BucketOfKey(job.key);
    if (!accepted.contains(id)) continue;
    // The age of the key is not known if only the agent has recorded it. It may
    // be as old as the oldest key that the agent keeps.
    const KnownKey known{job.key, now - this->settings.duplicate_window};
    this->Get(id).keys.AddReported(known, job.tasks, from, now);
  }
  this->agent_requests.End(from, reply.part.sequence);
  const KnownAgent* agent = this->agents.Find(from);
  const bool may_ask = agent != nullptr && agent->connected;
  // As with entries, one that can promise nothing is not asked without a pause.
  if (may_ask && !reply.buckets.empty()) this->RequestFrom(from, now);
  return lost;
}

bool Ownership::AddPromise(AgentId from, const AgentBucketPromise& promise,
                           const PromisePart& part) {
  Bucket& bucket = this->Get(promise.bucket);
  const bool for_own_ballot = bucket.phase != OwnershipPhase::kNone &&
                              promise.ballot == bucket.own_ballot;
  // Only the first reply describes the starts before the promise.
  if (!for_own_ballot || bucket.agent_promises.contains(from)) return false;
  const PartUse use = this->agent_requests.Add(
      from, {{promise.bucket, promise.ballot}, part.after, part.resume_after});
  if (use == PartUse::kCompletes) {
    bucket.agent_promises.insert(from);
    this->promises_changed = true;
  }
  return use != PartUse::kNone;
}

Ownership::Activation Ownership::ActivateReady(Timestamp now) {
  Activation result;
  std::vector<BucketBallot> ballots;
  const std::set<BucketId> waiting = this->incomplete_buckets;
  const bool changed = std::exchange(this->promises_changed, false);
  for (const BucketId id : waiting) {
    Bucket& bucket = this->Get(id);
    const bool is_active = bucket.phase == OwnershipPhase::kActive;
    const bool time_matters = !is_active && now >= this->ReplyDeadline(bucket);
    if (!changed && !time_matters) continue;
    ++this->examined;
    if (is_active) {
      if (!this->IsFullyRecovered(id, bucket)) continue;
      bucket.fresh_after.reset();
      this->incomplete_buckets.erase(id);
      result.fully_recovered.push_back(id);
      continue;
    }
    if (!this->TryActivate(id, bucket, now)) continue;
    result.activated.push_back(id);
    ballots.push_back({id, bucket.own_ballot});
    if (bucket.fresh_after) continue;
    this->incomplete_buckets.erase(id);
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
  Bucket& bucket = this->Get(this->BucketOfKey(job.key));
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

bool Ownership::AllStartsRecorded(Bucket& bucket, Timestamp now) const {
  // Once true, it stays true for this ballot: all later starts are made here.
  bucket.all_starts_recorded = bucket.all_starts_recorded ||
                               this->FormerHomeReportedAllStarts(bucket) ||
                               this->PriorRunsResolved(bucket, now);
  return bucket.all_starts_recorded;
}

bool Ownership::FormerHomeReportedAllStarts(const Bucket& bucket) const {
  const auto has_reported = [&](EntryId entry) {
    return entry == this->settings.self ||
           bucket.entry_promises.contains(entry);
  };
  Ballot latest;
  for (const ViewMember& member : this->current_view.members) {
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

bool Ownership::PriorRunsResolved(const Bucket& bucket, Timestamp now) const {
  // Only an entry that has joined recently can lack agents in its registry.
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
  return this->contacts.RunsAreOver(agent, this->current_view, now);
}

bool Ownership::HasRunsOfLostAgents(const Bucket& bucket, const JobKey& key,
                                    Timestamp now) const {
  const std::vector<ReportedTask>& started = bucket.keys.ReportedTasks(key);
  return std::any_of(started.begin(), started.end(),
                     [&](const ReportedTask& task) {
                       const KnownAgent* holder = this->agents.Find(task.agent);
                       return holder != nullptr && holder->lost_at &&
                              !this->RunsAreOver(*holder, now);
                     });
}

Timestamp Ownership::FirstSeen(const Bucket& bucket,
                               const JobSubmission& job) const {
  // An entry that has not promised may have seen the key earlier than the
  // record says, which then begins with a later submission of the key.
  if (bucket.fresh_after) return job.created.value_or(Timestamp::min());
  return bucket.keys.FirstSeen(job.key).value_or(Timestamp::min());
}

HistoryState Ownership::HistoryOf(const JobSubmission& job,
                                  Timestamp now) const {
  const Bucket& bucket = this->Get(this->BucketOfKey(job.key));
  if (job.rerun == RerunPolicy::kAfterLease) {
    const bool settled = this->PriorRunsResolved(bucket, now) &&
                         !this->HasRunsOfLostAgents(bucket, job.key, now);
    return settled ? HistoryState::kComplete : HistoryState::kIncomplete;
  }
  const Timestamp first_seen = this->FirstSeen(bucket, job);
  if (!this->synchronized) return HistoryState::kIncomplete;
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
  return this->Get(bucket).agent_promises.contains(agent);
}

std::vector<KnownKey> Ownership::KeysOf(BucketId bucket) const {
  return this->Get(bucket).keys.Sorted();
}

std::size_t Ownership::KnownKeyCount() const {
  std::size_t count = 0;
  for (const Bucket& bucket : this->buckets) count += bucket.keys.size();
  return count;
}

std::vector<EntryId> Ownership::UnreplicatedLosses(BucketId bucket) const {
  std::vector<EntryId> unreplicated;
  for (const EntryLoss& loss : this->current_view.losses) {
    if (!this->Get(bucket).replicated_losses.contains(loss.entry)) {
      unreplicated.push_back(loss.entry);
    }
  }
  return unreplicated;
}

void Ownership::MarkReReplicated(BucketId bucket, EntryId lost) {
  if (bucket.value() >= this->buckets.size()) return;
  this->Get(bucket).replicated_losses.insert(lost);
  this->promises_changed = true;
}

void Ownership::Expire(Timestamp horizon) {
  // Lost agents are removed from the registry at the same time.
  this->promises_changed = true;
  for (Bucket& bucket : this->buckets) bucket.keys.Expire(horizon);
}

void Ownership::BeginAcquisition(BucketId id, Timestamp now) {
  Bucket& bucket = this->Get(id);
  this->incomplete_buckets.insert(id);
  this->promises_changed = true;
  const Ballot previous = bucket.promised;
  bucket.prior_states.clear();
  bucket.prior_states[this->settings.self] = {previous, bucket.held,
                                              bucket.all_starts_recorded};
  bucket.all_starts_recorded = false;
  bucket.former_home.reset();
  const bool other_was_home =
      !previous.IsNone() && previous.entry != this->settings.self;
  if (other_was_home && !this->MayHaveBeenAlone(previous.entry)) {
    bucket.former_home = previous.entry;
  }
  bucket.own_ballot.epoch = this->current_view.epoch;
  bucket.own_ballot.round =
      previous.epoch == this->current_view.epoch ? previous.round + 1 : 0;
  bucket.own_ballot.entry = this->settings.self;
  bucket.promised = bucket.own_ballot;
  bucket.phase = OwnershipPhase::kCollecting;
  bucket.begun_at = now;
  bucket.entry_promises.clear();
  bucket.agent_promises.clear();
  bucket.fresh_after.reset();
  bucket.keys.BeginBallot();
}

bool Ownership::MayHaveBeenAlone(EntryId entry) const {
  const std::vector<ViewMember>& members = this->current_view.members;
  const bool is_oldest = !members.empty() && members.front().entry == entry;
  return is_oldest || !this->never_alone.contains(entry);
}

void Ownership::Release(BucketId id) {
  Bucket& bucket = this->Get(id);
  this->incomplete_buckets.erase(id);
  this->changed_buckets.insert(id);
  bucket.phase = OwnershipPhase::kNone;
  bucket.keys.ClearReported();
  bucket.entry_promises.clear();
  bucket.agent_promises.clear();
}

std::set<EntryId> Ownership::RequiredEntries(BucketId id,
                                             const Bucket& bucket) const {
  std::set<EntryId> required;
  for (const ViewMember& member : this->current_view.members) {
    required.insert(member.entry);
  }
  for (const EntryId lost : this->UnreplicatedLosses(id)) required.insert(lost);
  required.erase(this->settings.self);
  if (bucket.former_home) required.erase(*bucket.former_home);
  return required;
}

bool Ownership::HasAllEntryPromises(BucketId id, const Bucket& bucket) const {
  const std::set<EntryId> required = this->RequiredEntries(id, bucket);
  return std::includes(bucket.entry_promises.begin(),
                       bucket.entry_promises.end(), required.begin(),
                       required.end());
}

bool Ownership::HasAllAgentPromises(const Bucket& bucket) const {
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

bool Ownership::IsFullyRecovered(BucketId id, const Bucket& bucket) const {
  return this->HasAllEntryPromises(id, bucket) ||
         this->HasAllAgentPromises(bucket);
}

bool Ownership::TryActivate(BucketId id, Bucket& bucket, Timestamp now) {
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
