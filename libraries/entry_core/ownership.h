#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libraries/entry_core/agent_contacts.h"
#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/key_records.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/entry_core/promise_requests.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// How a key stands with the home, the entry that owns the bucket of the key.
// Decides whether the home may start tasks of the key.
enum class KeyStatus {
  // Never started under any other ballot.
  kFresh,
  // Inherited: received from the bucket's former home or from other entries,
  // from before this ballot. The tasks that agents have started must be
  // collected before any further start.
  kInherited,
  // Has its final answer under this ballot.
  kClosed,
  // Whether it was started can't be determined: an entry or agent that may
  // have recorded the start is lost or unresponsive.
  kIndeterminate,
  // Tasks that a lost or unreachable process started for it may still be
  // running.
  kUnsettled,
};

// How complete the agents' promises are regarding the tasks started for an
// inherited key.
enum class HistoryState {
  // At least one agent has not promised yet.
  kIncomplete,
  // Every agent that might have started a task of the key has promised.
  kComplete,
  // An agent that might have started a task of the key is lost.
  kLost,
};

// This entry's part in the ballot protocol that assigns each bucket a home: the
// ballots that it has promised, the keys that it has witnessed, and its own
// acquisitions of buckets. docs/design/at-most-once.md has the safety
// argument.
class Ownership {
 public:
  Ownership(const EntryCoreSettings& configured, const AgentRegistry& registry,
            const PeerDirectory& directory, const AgentContacts& agent_contacts,
            EntryOutbox& effects);

  [[nodiscard]] const View& view() const { return this->current_view; }
  struct ViewChange {
    // Buckets that this entry still owns under the same ballot.
    std::vector<BucketId> kept;
    // Buckets that were active or being acquired, and must be acquired again.
    std::vector<BucketId> released;
  };
  // Applies a newer view. Keeps the fully recovered buckets of which this entry
  // remains the first in rank; only entries that were members when the ballot
  // was acquired may be witnesses under it. Releases all other buckets.
  ViewChange AdoptView(const View& view, Timestamp now);
  void MarkSynchronized() {
    this->synchronized = true;
    this->promises_changed = true;
  }
  [[nodiscard]] bool IsSynchronized() const { return this->synchronized; }
  // Records that this entry became a member of the view at `now`.
  void NoteJoined(Timestamp now) { this->joined_at = now; }
  // Whether this entry has been a member for so long that all leases from
  // before have expired, also those of agents that no entry has reported.
  [[nodiscard]] bool HasOutlivedLeases(Timestamp now) const {
    return this->joined_at &&
           now >= *this->joined_at + this->settings.lease_over_after;
  }

  [[nodiscard]] BucketId BucketOfKey(const JobKey& key) const {
    return BucketOf(key, this->settings.bucket_count);
  }
  [[nodiscard]] OwnershipPhase Phase(BucketId bucket) const;
  [[nodiscard]] bool IsActive(BucketId bucket) const {
    return this->Phase(bucket) == OwnershipPhase::kActive;
  }
  [[nodiscard]] Ballot Promised(BucketId bucket) const;
  [[nodiscard]] std::vector<BucketBallot> Promises() const;
  // The entry that should act as home of `bucket`: the owner of the promised
  // ballot or, if that entry is not eligible, the highest-ranked member that is
  // not suspected. An empty id if there is none.
  [[nodiscard]] EntryId ExpectedHome(BucketId bucket, Timestamp now) const;
  // Whether the entry is a member of the view and was one in the view that the
  // promised ballot of the bucket names. A taker may not ask a later member.
  [[nodiscard]] bool MayWitness(EntryId entry, BucketId bucket) const;
  // The members of the view, the one that should be home of `bucket` first.
  [[nodiscard]] const std::vector<EntryId>& MembersByRank(
      BucketId bucket) const {
    return this->rankings[bucket.value()];
  }
  // The highest-ranked other member that is connected and not suspected, as
  // witness for keys of `bucket`; not one of `excluded`.
  [[nodiscard]] std::optional<EntryId> WitnessFor(
      BucketId bucket, const std::set<EntryId>& excluded, Timestamp now) const;
  // The other member that joined first, of those connected and not suspected.
  [[nodiscard]] std::optional<EntryId> OldestConnectedMember(
      Timestamp now) const;

  // Promises a ballot seen in a message if it is higher than the promised one.
  // Returns whether this entry thereby stops owning or acquiring the bucket.
  bool Observe(const BucketBallot& seen);
  // Begins to acquire the buckets that this entry should be home of. Examines
  // only buckets whose expected home may have changed since the last call.
  void AcquireVacant(Timestamp now);
  // Begins to acquire buckets from other homes that act.
  void TakeBack(const std::vector<BucketId>& wanted, Timestamp now) {
    this->Acquire(wanted, now);
  }
  // Asks entries and agents for missing promises: those that have answered the
  // latest request, and those whose answer to it is lost for certain. Call it
  // periodically.
  void RequestMissing(Timestamp now);
  // Replies to another entry's promise request. Returns the buckets that this
  // entry loses by promising.
  std::vector<BucketId> OnPromiseRequest(EntryId from,
                                         const PromiseRequest& request);
  // OnPromiseReply and OnAgentPromiseReply return the buckets lost to a higher
  // ballot.
  std::vector<BucketId> OnPromiseReply(EntryId from, const PromiseReply& reply,
                                       Timestamp now);
  std::vector<BucketId> OnAgentPromiseReply(AgentId from,
                                            const AgentPromiseReply& reply,
                                            Timestamp now);
  // Requests the missing promises from an entry to or from which there is a new
  // connection. A request or reply on the earlier one may be lost.
  void ResumeFrom(EntryId entry, Timestamp now);
  // The same for an agent that has connected.
  void ResumeFrom(AgentId agent, Timestamp now);
  // Requests the missing promises from an agent that has become ready.
  void RequestFrom(AgentId agent, Timestamp now);
  struct Activation {
    std::vector<BucketId> activated;
    // Buckets of which every started key is recorded from now on.
    std::vector<BucketId> fully_recovered;
  };
  // Activates the buckets with enough promises.
  Activation ActivateReady(Timestamp now);
  // How many times AcquireVacant and ActivateReady have examined a bucket; a
  // measure of the cost of events.
  [[nodiscard]] std::uint64_t buckets_examined() const {
    return this->examined;
  }

  // Whether no task that the agent has started can still be running.
  [[nodiscard]] bool RunsAreOver(AgentId agent, Timestamp now) const;

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
  // Marks a key as having its final answer under the current ballot.
  void Close(const JobKey& key, Timestamp now);
  // Treats a key that may run again as inherited; `started` are its tasks that
  // have been started and have not completed.
  void Reopen(const JobKey& key, std::vector<ReportedTask> started);
  [[nodiscard]] KeyStatus StatusOf(const JobSubmission& job, Timestamp now);
  [[nodiscard]] HistoryState HistoryOf(const JobSubmission& job,
                                       Timestamp now) const;
  [[nodiscard]] std::vector<ReportedTask> ReportedTasks(
      const JobKey& key) const;
  [[nodiscard]] bool AgentPromised(BucketId bucket, AgentId agent) const;
  [[nodiscard]] std::vector<KnownKey> KeysOf(BucketId bucket) const;
  [[nodiscard]] std::size_t KnownKeyCount() const;

  // The lost entries that may have witnessed a key of `bucket` that is not yet
  // re-replicated to the remaining members.
  [[nodiscard]] std::vector<EntryId> UnreplicatedLosses(BucketId bucket) const;
  void MarkReReplicated(BucketId bucket, EntryId lost);

  // Removes keys that were last recorded before `horizon`.
  void Expire(Timestamp horizon);

 private:
  // The state of an entry immediately before it made a promise.
  struct PriorState {
    Ballot promised;
    Ballot held;
    bool knew_all_starts = false;
  };
  struct Bucket {
    Ballot promised;
    Ballot own_ballot;
    // The last ballot under which this entry acted as home.
    Ballot held;
    // Whether every key that any home has started is recorded here.
    bool all_starts_recorded = false;
    // Also of entries whose keys have not all arrived yet.
    std::map<EntryId, PriorState> prior_states;
    OwnershipPhase phase = OwnershipPhase::kNone;
    // The previous home. Its promise is not required, since every key that it
    // has recorded is recorded by another entry as well.
    std::optional<EntryId> former_home;
    Timestamp begun_at;
    std::set<EntryId> entry_promises;
    std::set<AgentId> agent_promises;
    // If set, keys that are not recorded are fresh only if created after this
    // time.
    std::optional<Timestamp> fresh_after;
    std::set<EntryId> replicated_losses;
    KeyRecords keys;
  };

  Bucket& Get(BucketId bucket) { return this->buckets[bucket.value()]; }
  [[nodiscard]] const Bucket& Get(BucketId bucket) const {
    return this->buckets[bucket.value()];
  }
  [[nodiscard]] KeyRecords& RecordsOf(const JobKey& key) {
    return this->Get(this->BucketOfKey(key)).keys;
  }
  [[nodiscard]] const KeyRecords& RecordsOf(const JobKey& key) const {
    return this->Get(this->BucketOfKey(key)).keys;
  }
  void RecordMembership();
  [[nodiscard]] std::vector<BucketId> ActiveBuckets() const;
  // Whether the ballot of the bucket stays in force in the current view.
  [[nodiscard]] bool MayKeep(BucketId id) const;
  [[nodiscard]] bool NeedsPromiseOf(EntryId entry, const Bucket& bucket) const;
  // Requests the missing promises from an entry, unless an earlier request is
  // under way.
  void RequestFrom(EntryId entry, Timestamp now);
  // The members, and the former homes that have left the view.
  [[nodiscard]] std::set<EntryId> EntriesToAsk() const;
  // How much a responder may list in one reply. All replies together must not
  // delay heartbeats on this entry's link.
  [[nodiscard]] std::uint32_t MaximumListed() const;
  // Records an entry's state before it made its promise, and the promise once
  // all keys of the bucket have arrived.
  void AddPromise(EntryId from, const BucketPromise& promise,
                  const PromisePart& part);
  // Returns whether the started tasks listed for the bucket are new.
  bool AddPromise(AgentId from, const AgentBucketPromise& promise,
                  const PromisePart& part);
  void TrackNewKey(const KnownKey& known, KeyNovelty novelty);
  // Returns the buckets whose expected home may have changed since the last
  // call, and clears the list of changes.
  std::vector<BucketId> TakeBucketsToCheck(Timestamp now);
  [[nodiscard]] bool IsVacant(BucketId bucket, Timestamp now) const;
  void Acquire(const std::vector<BucketId>& wanted, Timestamp now);
  void BeginAcquisition(BucketId id, Timestamp now);
  // Whether the view may have had no member but `entry`, which may be lost by
  // now, for some time. Keys that other entries handed over to it then are
  // recorded nowhere else.
  [[nodiscard]] bool MayHaveBeenAlone(EntryId entry) const;
  void Release(BucketId id);
  [[nodiscard]] std::set<EntryId> RequiredEntries(BucketId id,
                                                  const Bucket& bucket) const;
  [[nodiscard]] bool HasAllEntryPromises(BucketId id,
                                         const Bucket& bucket) const;
  [[nodiscard]] bool HasAllAgentPromises(const Bucket& bucket) const;
  // EntriesDeadSince and AgentsDeadSince return the time at which the last of
  // those without a promise was proven dead, or nothing if one may be alive.
  // Keys created later can't have been started elsewhere.
  [[nodiscard]] std::optional<Timestamp> EntriesDeadSince(
      BucketId id, const Bucket& bucket) const;
  [[nodiscard]] std::optional<Timestamp> AgentsDeadSince(
      const Bucket& bucket) const;
  [[nodiscard]] std::optional<Timestamp> DeadSince(EntryId entry) const;
  // Whether every key that a former home may have started is recorded, or all
  // earlier runs are resolved. Keeps a positive result in the bucket.
  bool AllStartsRecorded(Bucket& bucket, Timestamp now) const;
  [[nodiscard]] bool FormerHomeReportedAllStarts(const Bucket& bucket) const;
  // Whether every run that another home has started in this bucket has ended or
  // was reported with an agent's promise.
  [[nodiscard]] bool PriorRunsResolved(const Bucket& bucket,
                                       Timestamp now) const;
  // As above, for an agent in the registry.
  [[nodiscard]] bool RunsAreOver(const KnownAgent& agent, Timestamp now) const;
  // When an entry first saw the job's key, or an earlier time if that is not
  // known.
  [[nodiscard]] Timestamp FirstSeen(const Bucket& bucket,
                                    const JobSubmission& job) const;
  // Whether a recorded task of the key may still be running on a lost agent,
  // which can't be queried.
  [[nodiscard]] bool HasRunsOfLostAgents(const Bucket& bucket,
                                         const JobKey& key,
                                         Timestamp now) const;
  [[nodiscard]] bool IsFullyRecovered(BucketId id, const Bucket& bucket) const;
  bool TryActivate(BucketId id, Bucket& bucket, Timestamp now);
  // Until this time an acquisition waits for entries and agents that may still
  // reply: a home that activates without them must refuse older keys.
  [[nodiscard]] Timestamp ReplyDeadline(const Bucket& bucket) const {
    return bucket.begun_at + 2 * this->settings.repeat_interval;
  }

  EntryCoreSettings settings;
  const AgentRegistry& agents;
  const PeerDirectory& peers;
  const AgentContacts& contacts;
  EntryOutbox& outbox;
  View current_view;
  // The epoch in which this entry first saw each member of the current view.
  std::map<EntryId, Epoch> member_since;
  // The entries that were in a view together with an older member and with this
  // entry. The older member was there before, and this one has been since.
  std::set<EntryId> never_alone;
  bool synchronized = false;
  std::optional<Timestamp> joined_at;
  std::vector<Bucket> buckets;
  // Per bucket, the members of the current view in rendezvous order.
  std::vector<std::vector<EntryId>> rankings;
  // The view's epoch and the suspected entries at the latest search for vacant
  // buckets.
  Epoch searched_epoch;
  std::uint64_t searched_declines = 0;
  std::vector<EntryId> suspected;
  // Buckets released or promised to other entries since the latest search.
  std::set<BucketId> changed_buckets;
  // Buckets that are being acquired, or that were activated without all
  // required promises.
  std::set<BucketId> incomplete_buckets;
  // Whether a condition for activation or full recovery has changed since the
  // last call of ActivateReady.
  bool promises_changed = false;
  PromiseRequests<EntryId> entry_requests;
  PromiseRequests<AgentId> agent_requests;
  std::uint64_t examined = 0;
  bool tracks_new_keys = false;
  std::map<BucketId, std::vector<KnownKey>> new_keys;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
