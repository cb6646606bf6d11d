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
  void MarkSynchronized() { this->synchronized = true; }
  [[nodiscard]] bool IsSynchronized() const { return this->synchronized; }

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
  // The buckets that this entry should acquire now.
  [[nodiscard]] std::vector<BucketId> Vacant(Timestamp now) const;
  // Another member that answers and could witness a key of `bucket`.
  [[nodiscard]] std::optional<EntryId> WitnessFor(BucketId bucket,
                                                  Timestamp now) const;

  // Learns of a ballot; true if that ends this entry's hold of the bucket.
  bool Observe(const BucketBallot& seen);
  void Acquire(const std::vector<BucketId>& wanted, Timestamp now);
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

  // Remembers a key that this entry now answers for as home or witness.
  void Remember(const KnownKey& known, Timestamp now);
  // Remembers a key that some home may have started.
  void RememberCarried(const KnownKey& known, Timestamp now);
  // Marks a key as answered for good under the ballot of now.
  void Close(const JobKey& key, Timestamp now);
  [[nodiscard]] KeyStanding StandingOf(
      const JobKey& key, const std::optional<Timestamp>& created) const;
  [[nodiscard]] HistoryState HistoryOf(const JobKey& key) const;
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
  struct Bucket {
    Ballot promised;
    Ballot mine;
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
  void Begin(Bucket& bucket, Timestamp now);
  void Release(Bucket& bucket);
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
  [[nodiscard]] bool IsWhole(BucketId id, const Bucket& bucket) const;
  bool TryActivate(BucketId id, Bucket& bucket, Timestamp now);

  EntryCoreSettings settings;
  const AgentRegistry& agents;
  const PeerDirectory& peers;
  EntryOutbox& outbox;
  View current_view;
  bool synchronized = false;
  std::vector<Bucket> buckets;
  // Per bucket, the members of the current view in rendezvous order.
  std::vector<std::vector<EntryId>> rankings;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_OWNERSHIP_H_
