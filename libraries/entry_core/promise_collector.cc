#include "libraries/entry_core/promise_collector.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace dandelionspur {
namespace {

// Agents do not confirm what they have read. One that has not answered for this
// long is asked again, for a part that is as small as the first.
constexpr Duration kAgentReplyLimit = std::chrono::milliseconds(500);

}  // namespace

PromiseCollector::PromiseCollector(const EntryCoreSettings& configured,
                                   const Membership& current_membership,
                                   BucketTable& bucket_table,
                                   const AgentRegistry& registry,
                                   const PeerDirectory& directory,
                                   EntryOutbox& effects)
    : settings(configured),
      membership(current_membership),
      buckets(bucket_table),
      agents(registry),
      peers(directory),
      outbox(effects) {}

void PromiseCollector::RequestMissing(Timestamp now) {
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

std::set<EntryId> PromiseCollector::EntriesToAsk() const {
  std::set<EntryId> entries;
  for (const ViewMember& member : this->membership.view().members) {
    entries.insert(member.entry);
  }
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const bool has_former_home =
        this->buckets.Get(BucketId(i)).former_home.has_value() &&
        this->buckets.Phase(BucketId(i)) != OwnershipPhase::kNone;
    if (has_former_home) {
      entries.insert(*this->buckets.Get(BucketId(i)).former_home);
    }
  }
  return entries;
}

std::uint32_t PromiseCollector::MaximumListed() const {
  // About 120 kB, which is 40 ms of a link of 25 Mbit/s.
  constexpr std::size_t kListedInAllReplies = 4096;
  constexpr std::size_t kLeast = 64;
  constexpr std::size_t kMost = 1024;
  const std::size_t responders =
      this->membership.view().members.size() + this->agents.all().size();
  return static_cast<std::uint32_t>(
      std::clamp(kListedInAllReplies / std::max<std::size_t>(responders, 1),
                 kLeast, kMost));
}

void PromiseCollector::ResumeFrom(EntryId entry, Timestamp now) {
  this->entry_requests.Abandon(entry);
  this->RequestFrom(entry, now);
}

void PromiseCollector::ResumeFrom(AgentId agent, Timestamp now) {
  this->agent_requests.Abandon(agent);
  this->RequestFrom(agent, now);
}

void PromiseCollector::RequestFrom(EntryId entry, Timestamp now) {
  if (!this->peers.IsConnected(entry)) return;
  if (this->entry_requests.IsUnderWay(entry)) return;
  std::vector<BucketBallot> missing;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->buckets.Phase(id) == OwnershipPhase::kNone) continue;
    if (!this->NeedsPromiseOf(entry, this->buckets.Get(id))) continue;
    missing.push_back({id, this->buckets.Get(id).own_ballot});
  }
  if (missing.empty()) return;
  this->outbox.ToPeer(entry,
                      this->entry_requests.Begin(entry, std::move(missing),
                                                 this->MaximumListed(), now));
}

void PromiseCollector::RequestFrom(AgentId agent, Timestamp now) {
  if (this->agent_requests.IsUnderWay(agent)) return;
  std::vector<BucketBallot> missing;
  for (std::uint32_t i = 0; i < this->buckets.size(); ++i) {
    const BucketId id(i);
    if (this->buckets.Phase(id) == OwnershipPhase::kNone) continue;
    if (this->buckets.Get(id).agent_promises.contains(agent)) continue;
    missing.push_back({id, this->buckets.Get(id).own_ballot});
  }
  if (missing.empty()) return;
  this->outbox.ToAgent(agent,
                       this->agent_requests.Begin(agent, std::move(missing),
                                                  this->MaximumListed(), now));
}

bool PromiseCollector::NeedsPromiseOf(EntryId entry,
                                      const BucketState& bucket) const {
  if (entry == this->settings.self) return false;
  if (bucket.entry_promises.contains(entry)) return false;
  const auto since = this->membership.since().find(entry);
  // A former home that has left the view can still report its keys.
  if (since == this->membership.since().end()) {
    return bucket.former_home == entry;
  }
  // A kept bucket needs no promise of an entry that has joined since.
  return since->second <= bucket.own_ballot.epoch;
}

std::vector<BucketId> PromiseCollector::OnPromiseReply(
    EntryId from, const PromiseReply& reply, Timestamp now) {
  std::vector<BucketId> lost;
  const std::vector<PromisePart> parts = PartsOf(reply.buckets, reply.part);
  for (std::size_t i = 0; i < reply.buckets.size(); ++i) {
    const BucketPromise& promise = reply.buckets[i];
    if (!this->buckets.Contains(promise.bucket)) continue;
    BucketState& bucket = this->buckets.Get(promise.bucket);
    if (!promise.granted) {
      if (this->buckets.Observe({promise.bucket, promise.ballot})) {
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

void PromiseCollector::AddPromise(EntryId from, const BucketPromise& promise,
                                  const PromisePart& part) {
  BucketState& bucket = this->buckets.Get(promise.bucket);
  const PartUse use = this->entry_requests.Add(
      from, {{promise.bucket, promise.ballot}, part.after, part.resume_after});
  if (use == PartUse::kNone) return;
  // Only the first reply describes the state before the promise.
  bucket.prior_states.try_emplace(
      from, BucketState::PriorState{promise.previous, promise.held,
                                    promise.knew_all_starts});
  if (use != PartUse::kCompletes) return;
  if (!bucket.entry_promises.insert(from).second) return;
  this->buckets.NotePromisesChanged();
}

std::vector<BucketId> PromiseCollector::OnAgentPromiseReply(
    AgentId from, const AgentPromiseReply& reply, Timestamp now) {
  std::vector<BucketId> lost;
  std::set<BucketId> accepted;
  const std::vector<PromisePart> parts = PartsOf(reply.buckets, reply.part);
  for (std::size_t i = 0; i < reply.buckets.size(); ++i) {
    const AgentBucketPromise& promise = reply.buckets[i];
    if (!this->buckets.Contains(promise.bucket)) continue;
    if (!promise.granted) {
      if (this->buckets.Observe({promise.bucket, promise.ballot})) {
        lost.push_back(promise.bucket);
      }
      continue;
    }
    if (this->AddPromise(from, promise, parts[i])) {
      accepted.insert(promise.bucket);
    }
  }
  for (const StartedJob& job : reply.started) {
    const BucketId id = BucketOf(job.key, this->settings.bucket_count);
    if (!accepted.contains(id)) continue;
    // The age of the key is not known if only the agent has recorded it. It may
    // be as old as the oldest key that the agent keeps.
    const KnownKey known{job.key, now - this->settings.duplicate_window,
                         job.cancelled};
    this->buckets.Get(id).keys.AddReported(known, job.tasks, from, now);
  }
  this->agent_requests.End(from, reply.part.sequence);
  const KnownAgent* agent = this->agents.Find(from);
  const bool may_ask = agent != nullptr && agent->connected;
  // As with entries, one that can promise nothing is not asked without a pause.
  if (may_ask && !reply.buckets.empty()) this->RequestFrom(from, now);
  return lost;
}

bool PromiseCollector::AddPromise(AgentId from,
                                  const AgentBucketPromise& promise,
                                  const PromisePart& part) {
  BucketState& bucket = this->buckets.Get(promise.bucket);
  const bool for_own_ballot = bucket.phase != OwnershipPhase::kNone &&
                              promise.ballot == bucket.own_ballot;
  // Only the first reply describes the starts before the promise.
  if (!for_own_ballot || bucket.agent_promises.contains(from)) return false;
  const PartUse use = this->agent_requests.Add(
      from, {{promise.bucket, promise.ballot}, part.after, part.resume_after});
  if (use == PartUse::kCompletes) {
    bucket.agent_promises.insert(from);
    this->buckets.NotePromisesChanged();
  }
  return use != PartUse::kNone;
}

}  // namespace dandelionspur
