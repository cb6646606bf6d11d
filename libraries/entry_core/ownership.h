#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libraries/entry_core/agent_contacts.h"
#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/bucket_activator.h"
#include "libraries/entry_core/bucket_assignment.h"
#include "libraries/entry_core/bucket_table.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/key_history.h"
#include "libraries/entry_core/key_records.h"
#include "libraries/entry_core/membership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/entry_core/promise_collector.h"
#include "libraries/entry_core/promise_responder.h"
#include "libraries/entry_core/recovery/agent_roster.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// Whether members that a view has removed may act as homes under ballots that
// the remaining ones have never seen.
enum class OtherHomes { kNone, kPossible };

// This entry's part in the ballot protocol that assigns each bucket a home: the
// ballots that it has promised, the keys that it has witnessed, and its own
// acquisitions of buckets. docs/design/at-most-once.md has the safety
// argument.
class Ownership {
 public:
  Ownership(const EntryCoreSettings& configured, const AgentRegistry& registry,
            const PeerDirectory& directory, const AgentContacts& agent_contacts,
            EntryOutbox& effects);
  // Its parts refer to each other.
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  [[nodiscard]] const View& view() const { return this->membership.view(); }
  struct ViewChange {
    // Buckets that this entry still owns under the same ballot.
    std::vector<BucketId> kept;
    // Buckets that were active or being acquired, and must be acquired again.
    std::vector<BucketId> released;
  };
  // Applies a newer view. Keeps the fully recovered buckets of which this entry
  // remains the first in rank; only entries that were members when the ballot
  // was acquired may be witnesses under it. Releases all other buckets, and
  // every bucket where others may act.
  ViewChange AdoptView(const View& view, OtherHomes others, Timestamp now);
  void MarkSynchronized() {
    this->membership.MarkSynchronized();
    this->buckets.NotePromisesChanged();
  }
  [[nodiscard]] bool IsSynchronized() const {
    return this->membership.IsSynchronized();
  }
  // Records that this entry became a member of the view at `now`.
  void NoteJoined(Timestamp now) { this->membership.NoteJoined(now); }
  void NoteAgentsTold(EntryId member) {
    this->membership.NoteAgentsTold(member);
  }
  void NoteLeftUntold(Timestamp until) {
    this->membership.NoteLeftUntold(until);
  }
  [[nodiscard]] bool HasToldAgents(EntryId member) const {
    return this->membership.HasToldAgents(member);
  }
  // Records the agents' addresses that were listed in the table once this entry
  // was a member.
  void NoteAgentsListed(const std::vector<Endpoint>& addresses) {
    this->roster.NoteListed(addresses);
    this->buckets.NotePromisesChanged();
  }
  // Records that no task of an earlier agent at the address is running.
  void NoteAgentAccounted(const Endpoint& address) {
    if (this->roster.NoteAccounted(address)) {
      this->buckets.NotePromisesChanged();
    }
  }
  // Whether no agent that this entry does not know can be running tasks.
  [[nodiscard]] bool KnowsAllRunningAgents(Timestamp now) const {
    return this->history.KnowsAllRunningAgents(now);
  }

  [[nodiscard]] BucketId BucketOfKey(const JobKey& key) const {
    return BucketOf(key, this->settings.bucket_count);
  }
  [[nodiscard]] OwnershipPhase Phase(BucketId bucket) const {
    return this->buckets.Phase(bucket);
  }
  [[nodiscard]] bool IsActive(BucketId bucket) const {
    return this->Phase(bucket) == OwnershipPhase::kActive;
  }
  [[nodiscard]] Ballot Promised(BucketId bucket) const {
    return this->buckets.Get(bucket).promised;
  }
  [[nodiscard]] std::vector<BucketBallot> Promises() const {
    return this->buckets.Promises();
  }
  // The entry that should act as home of `bucket`: the owner of the promised
  // ballot or, if that entry is not eligible, the highest-ranked member that is
  // not suspected. An empty id if there is none.
  [[nodiscard]] EntryId ExpectedHome(BucketId bucket, Timestamp now) const {
    return this->assignment.ExpectedHome(bucket, now);
  }
  // Whether the entry is a member of the view and was one in the view that the
  // promised ballot of the bucket names. A taker may not ask a later member.
  [[nodiscard]] bool MayWitness(EntryId entry, BucketId bucket) const {
    return this->assignment.MayWitness(entry, bucket);
  }
  // The members of the view, the one that should be home of `bucket` first.
  [[nodiscard]] const std::vector<EntryId>& MembersByRank(
      BucketId bucket) const {
    return this->membership.Ranking(bucket);
  }
  // The highest-ranked other member that is connected and not suspected, as
  // witness for keys of `bucket`; not one of `excluded`.
  [[nodiscard]] std::optional<EntryId> WitnessFor(
      BucketId bucket, const std::set<EntryId>& excluded, Timestamp now) const {
    return this->assignment.WitnessFor(bucket, excluded, now);
  }
  // The other member that joined first, of those connected and not suspected.
  [[nodiscard]] std::optional<EntryId> OldestConnectedMember(
      Timestamp now) const {
    return this->assignment.OldestConnectedMember(now);
  }

  // Promises a ballot seen in a message if it is higher than the promised one.
  // Returns whether this entry thereby stops owning or acquiring the bucket.
  bool Observe(const BucketBallot& seen) { return this->buckets.Observe(seen); }
  // Begins to acquire the buckets that this entry should be home of. Examines
  // only buckets whose expected home may have changed since the last call.
  void AcquireVacant(Timestamp now) {
    this->Acquire(this->assignment.TakeVacant(now), now);
  }
  // Begins to acquire buckets from other homes that act.
  void TakeBack(const std::vector<BucketId>& wanted, Timestamp now) {
    this->Acquire(wanted, now);
  }
  // Asks entries and agents for missing promises: those that have answered the
  // latest request, and those whose answer to it is lost for certain. Call it
  // periodically.
  void RequestMissing(Timestamp now) { this->collector.RequestMissing(now); }
  // Replies to another entry's promise request. Returns the buckets that this
  // entry loses by promising.
  std::vector<BucketId> OnPromiseRequest(EntryId from,
                                         const PromiseRequest& request) {
    return this->responder.OnPromiseRequest(from, request);
  }
  // OnPromiseReply and OnAgentPromiseReply return the buckets lost to a higher
  // ballot.
  std::vector<BucketId> OnPromiseReply(EntryId from, const PromiseReply& reply,
                                       Timestamp now) {
    return this->collector.OnPromiseReply(from, reply, now);
  }
  std::vector<BucketId> OnAgentPromiseReply(AgentId from,
                                            const AgentPromiseReply& reply,
                                            Timestamp now) {
    return this->collector.OnAgentPromiseReply(from, reply, now);
  }
  // Requests the missing promises from an entry to or from which there is a new
  // connection. A request or reply on the earlier one may be lost.
  void ResumeFrom(EntryId entry, Timestamp now) {
    this->collector.ResumeFrom(entry, now);
  }
  // The same for an agent that has connected.
  void ResumeFrom(AgentId agent, Timestamp now) {
    this->collector.ResumeFrom(agent, now);
  }
  // Requests the missing promises from an agent that has become ready.
  void RequestFrom(AgentId agent, Timestamp now) {
    this->collector.RequestFrom(agent, now);
  }
  using Activation = BucketActivator::Activation;
  // Activates the buckets with enough promises.
  Activation ActivateReady(Timestamp now) {
    return this->activator.ActivateReady(now);
  }
  // How many times AcquireVacant and ActivateReady have examined a bucket; a
  // measure of the cost of events.
  [[nodiscard]] std::uint64_t buckets_examined() const {
    return this->assignment.buckets_examined() +
           this->activator.buckets_examined();
  }

  // Whether no task that the agent has started can still be running, or begin
  // to run.
  [[nodiscard]] bool RunsAreOver(AgentId agent, StartConfirmation starts,
                                 Timestamp now) const {
    return this->history.RunsAreOver(agent, starts, now);
  }
  [[nodiscard]] Timestamp RunsOverAt(AgentId agent, StartConfirmation starts,
                                     Timestamp now) const {
    return this->history.RunsOverAt(agent, starts, now);
  }

  // Records a key that this entry handles as home, or as witness.
  void Remember(const KnownKey& known, Timestamp now);
  // Records a key of which another home may have started tasks.
  void RememberInherited(const KnownKey& known, Timestamp now);
  // Keeps a list of the keys that are recorded by the two functions above from
  // now on.
  void TrackNewKeys() { this->tracks_new_keys = true; }
  // The tracked keys since the last call.
  std::map<BucketId, std::vector<KnownKey>> TakeNewKeys() {
    return std::exchange(this->new_keys, {});
  }
  // Records that the job was cancelled, here and in all later promises and
  // hand-overs of the key.
  void Cancel(const JobKey& key, Timestamp now);
  [[nodiscard]] bool IsCancelled(const JobKey& key) const {
    return this->RecordsOf(key).IsCancelled(key);
  }
  [[nodiscard]] bool IsRecorded(const JobKey& key) const {
    return this->RecordsOf(key).OriginOf(key).has_value();
  }
  // The recorded keys of cancelled jobs.
  [[nodiscard]] std::vector<JobKey> CancelledKeys() const;
  // Marks a key as having its final answer under the current ballot.
  void Close(const JobKey& key, Timestamp now);
  // Treats a key that may run again as inherited; `started` are its tasks that
  // have been started and have not completed.
  void Reopen(const JobKey& key, std::vector<ReportedTask> started);
  // Replaces the reported tasks of the key.
  void SetReported(const JobKey& key, std::vector<ReportedTask> started) {
    this->RecordsOf(key).SetReported(key, std::move(started));
  }
  // Forgets a reported task of which the agent runs nothing any more.
  void RemoveReported(const JobKey& key, const ReportedTask& gone) {
    this->RecordsOf(key).RemoveReported(key, gone);
  }
  [[nodiscard]] KeyStatus StatusOf(const JobSubmission& job, Timestamp now) {
    return this->history.StatusOf(job, now);
  }
  [[nodiscard]] HistoryState HistoryOf(const JobSubmission& job,
                                       Timestamp now) const {
    return this->history.HistoryOf(job, now);
  }
  [[nodiscard]] std::optional<Timestamp> HistoryCompleteAt(
      const JobSubmission& job, Timestamp now) const {
    return this->history.HistoryCompleteAt(job, now);
  }
  [[nodiscard]] std::vector<ReportedTask> ReportedTasks(
      const JobKey& key) const;
  [[nodiscard]] bool AgentPromised(BucketId bucket, AgentId agent) const;
  [[nodiscard]] std::vector<KnownKey> KeysOf(BucketId bucket) const;
  [[nodiscard]] std::size_t KnownKeyCount() const;

  // The lost entries that may have witnessed a key of `bucket` that is not yet
  // re-replicated to the remaining members.
  [[nodiscard]] std::vector<EntryId> UnreplicatedLosses(BucketId bucket) const {
    return this->activator.UnreplicatedLosses(bucket);
  }
  void MarkReReplicated(BucketId bucket, EntryId lost);

  // Removes keys that were last recorded before `horizon`.
  void Expire(Timestamp horizon);

 private:
  [[nodiscard]] KeyRecords& RecordsOf(const JobKey& key) {
    return this->buckets.Get(this->BucketOfKey(key)).keys;
  }
  [[nodiscard]] const KeyRecords& RecordsOf(const JobKey& key) const {
    return this->buckets.Get(this->BucketOfKey(key)).keys;
  }
  void TrackNewKey(const KnownKey& known, KeyNovelty novelty);
  void Acquire(const std::vector<BucketId>& wanted, Timestamp now);
  void BeginAcquisition(BucketId id, Timestamp now);

  EntryCoreSettings settings;
  const PeerDirectory& peers;
  EntryOutbox& outbox;
  Membership membership;
  BucketTable buckets;
  BucketAssignment assignment;
  PromiseCollector collector;
  PromiseResponder responder;
  AgentRoster roster;
  KeyHistory history;
  BucketActivator activator;
  bool tracks_new_keys = false;
  std::map<BucketId, std::vector<KnownKey>> new_keys;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
