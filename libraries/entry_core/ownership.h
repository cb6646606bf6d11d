#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// What the home of a bucket may do with a key.
enum class KeyStanding {
  // Certainly never started under any other ballot.
  kFresh,
  // Known from before this ballot: what agents started must be found first.
  kCarried,
  // Answered for good under this ballot.
  kClosed,
  // Too much was lost to say whether it was started.
  kUnknowable,
  // Runs of it that a lost process started may still be going on.
  kUnsettled,
};

// What the promises of the agents tell about a carried key.
enum class HistoryState {
  // Some agent has not answered yet.
  kIncomplete,
  // Every agent that might have started a task of the key has answered.
  kComplete,
  // An agent that might have started a task is gone.
  kLost,
};

struct FoundTask {
  TaskIndex task;
  AgentId agent;
};

// This entry's part in deciding who is home of which bucket: the ballots that
// it promised, the keys that it witnessed, and its own acquisitions. The
// argument for its safety is docs/design/at-most-once.md.
class Ownership {
 public:
  Ownership(const EntryCoreSettings& configured, const AgentRegistry& registry,
            const PeerDirectory& directory, EntryOutbox& effects);

  [[nodiscard]] const View& view() const { return this->current_view; }
  // Takes a newer view into force. Every bucket held here must be acquired
  // anew, so that a ballot's epoch names the view that its witnesses are from.
  // Returns the buckets that were held or being acquired.
  std::vector<BucketId> AdoptView(const View& view);
  void MarkSynchronized() {
    this->synchronized = true;
    this->promises_changed = true;
  }
  [[nodiscard]] bool IsSynchronized() const { return this->synchronized; }
  // This entry is a member since `now`.
  void NoteJoined(Timestamp now) { this->joined_at = now; }
  // Whether an agent that no entry has told of would have stopped by now.
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
  // The entry that should act as home, and this entry's own candidacy.
  [[nodiscard]] EntryId ExpectedHome(BucketId bucket, Timestamp now) const;
  // Another member that answers and could witness a key of `bucket`.
  [[nodiscard]] std::optional<EntryId> WitnessFor(BucketId bucket,
                                                  Timestamp now) const;

  // Learns of a ballot; true if that ends this entry's hold of the bucket.
  bool Observe(const BucketBallot& seen);
  // Begins to acquire the buckets that this entry should be home of. Looks only
  // at those for which that may have changed since the last call.
  void AcquireVacant(Timestamp now);
  // Asks those again that have not answered.
  void RepeatRequests();
  // Answers another entry's request; returns the buckets lost by it.
  std::vector<BucketId> OnPromiseRequest(EntryId from,
                                         const PromiseRequest& request);
  // Both return the buckets lost to a higher ballot.
  std::vector<BucketId> OnPromiseReply(EntryId from, const PromiseReply& reply,
                                       Timestamp now);
  std::vector<BucketId> OnAgentPromiseReply(AgentId from,
                                            const AgentPromiseReply& reply,
                                            Timestamp now);
  // Asks an agent that has become ready for the promises needed from it.
  void RequestFromAgent(AgentId agent);
  struct Activation {
    std::vector<BucketId> activated;
    // Buckets of which every started key is known from now on.
    std::vector<BucketId> made_whole;
  };
  // Makes buckets active whose promises suffice.
  Activation ActivateReady(Timestamp now);
  // How often a bucket was looked at by the two above: what events cost.
  [[nodiscard]] std::uint64_t buckets_examined() const {
    return this->examined;
  }

  // Whether nothing that the agent has started can still be running.
  [[nodiscard]] bool RunsAreOver(AgentId agent, Timestamp now) const;

  // Remembers a key that this entry now answers for as home or witness.
  void Remember(const KnownKey& known, Timestamp now);
  // Remembers a key that some home may have started.
  void RememberCarried(const KnownKey& known, Timestamp now);
  // Marks a key as answered for good under the ballot of now.
  void Close(const JobKey& key, Timestamp now);
  // Takes a key that may run again as known from before; `started` are its
  // tasks whose runs have not ended.
  void Reopen(const JobKey& key, std::vector<FoundTask> started);
  [[nodiscard]] KeyStanding StandingOf(const JobSubmission& job, Timestamp now);
  [[nodiscard]] HistoryState HistoryOf(const JobSubmission& job,
                                       Timestamp now) const;
  [[nodiscard]] std::vector<FoundTask> FoundTasks(const JobKey& key) const;
  [[nodiscard]] bool AgentPromised(BucketId bucket, AgentId agent) const;
  [[nodiscard]] std::vector<KnownKey> KeysOf(BucketId bucket) const;
  [[nodiscard]] std::vector<KnownKey> AllKeys() const;
  [[nodiscard]] std::size_t KnownKeyCount() const;

  // The losses that may still hide a witness of a key of `bucket`.
  [[nodiscard]] std::vector<EntryId> UnhealedLosses(BucketId bucket) const;
  void MarkHealed(BucketId bucket, EntryId lost);

  // Forgets keys that were last heard of before `horizon`.
  void Expire(Timestamp horizon);

 private:
  // How a key came to be known, as far as the ballot of now is concerned.
  enum class KeyOrigin { kOwn, kCarried, kClosed };
  struct KeyRecord {
    Timestamp first_seen;
    Timestamp last_heard;
    KeyOrigin origin = KeyOrigin::kOwn;
  };
  // What an entry tells of the time before a promise.
  struct Predecessor {
    Ballot promised;
    Ballot held;
    bool knew_all_starts = false;
  };
  struct Bucket {
    Ballot promised;
    Ballot mine;
    // The last ballot under which this entry acted as home.
    Ballot held;
    // Whether every key that any home has started is known here.
    bool knows_all_starts = false;
    std::map<EntryId, Predecessor> predecessors;
    OwnershipPhase phase = OwnershipPhase::kNone;
    // The previous home: whatever it started has another witness.
    std::optional<EntryId> exempt;
    Timestamp begun_at;
    std::set<EntryId> entry_promises;
    std::set<AgentId> agent_promises;
    // Unknown keys are fresh only if created after this time, if set.
    std::optional<Timestamp> fresh_after;
    std::set<EntryId> healed;
    std::unordered_map<JobKey, KeyRecord> known;
    std::unordered_map<JobKey, std::vector<FoundTask>> found;
  };

  Bucket& Get(BucketId bucket) { return this->buckets[bucket.value()]; }
  [[nodiscard]] const Bucket& Get(BucketId bucket) const {
    return this->buckets[bucket.value()];
  }
  // The buckets whose expected home may have changed since the last call.
  std::vector<BucketId> TakeUnsettledHomes(Timestamp now);
  [[nodiscard]] bool IsVacant(BucketId bucket, Timestamp now) const;
  void Acquire(const std::vector<BucketId>& wanted, Timestamp now);
  void Begin(BucketId id, Timestamp now);
  void Release(BucketId id);
  [[nodiscard]] std::set<EntryId> RequiredEntries(BucketId id,
                                                  const Bucket& bucket) const;
  [[nodiscard]] bool HaveAllEntries(BucketId id, const Bucket& bucket) const;
  [[nodiscard]] bool HaveAllAgents(const Bucket& bucket) const;
  // The time after which a created key can't have been started elsewhere,
  // where everything that has not promised is proven dead.
  [[nodiscard]] std::optional<Timestamp> EntriesDeadSince(
      BucketId id, const Bucket& bucket) const;
  [[nodiscard]] std::optional<Timestamp> AgentsDeadSince(
      const Bucket& bucket) const;
  [[nodiscard]] std::optional<Timestamp> DeadSince(EntryId entry) const;
  // Whether every key that a former home may have started is known: from that
  // home itself, or since its runs are settled.
  bool KnowsAllStarts(Bucket& bucket, Timestamp now) const;
  [[nodiscard]] bool LearnedFromFormerHome(const Bucket& bucket) const;
  // Whether every run that another home has started in this bucket is over, or
  // known from an agent's promise.
  [[nodiscard]] bool RunsAreSettled(const Bucket& bucket, Timestamp now) const;
  // Whether nothing that the agent has started can still be running, since no
  // entry has heard from it for the time of a lease.
  [[nodiscard]] bool RunsAreOver(const KnownAgent& agent, Timestamp now) const;
  // Whether a known task of the job may still run where nobody can be asked.
  [[nodiscard]] bool HasRunsOfLostAgents(const Bucket& bucket,
                                         const JobKey& key,
                                         Timestamp now) const;
  [[nodiscard]] bool IsWhole(BucketId id, const Bucket& bucket) const;
  bool TryActivate(BucketId id, Bucket& bucket, Timestamp now);
  // Until then an acquisition waits for those that can still answer, since
  // acting without them means refusing older keys.
  [[nodiscard]] Timestamp PatientUntil(const Bucket& bucket) const {
    return bucket.begun_at + 2 * this->settings.repeat_interval;
  }

  EntryCoreSettings settings;
  const AgentRegistry& agents;
  const PeerDirectory& peers;
  EntryOutbox& outbox;
  View current_view;
  bool synchronized = false;
  std::optional<Timestamp> joined_at;
  std::vector<Bucket> buckets;
  // Per bucket, the members of the current view in rendezvous order.
  std::vector<std::vector<EntryId>> rankings;
  // What the latest search for vacant buckets was based on.
  Epoch searched_epoch;
  std::vector<EntryId> suspected;
  // Buckets released, or promised to others, since that search.
  std::set<BucketId> moved;
  // Buckets that are being acquired, or are active without being whole.
  std::set<BucketId> unfinished;
  // Something that makes a bucket whole has changed since ActivateReady.
  bool promises_changed = false;
  std::uint64_t examined = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
