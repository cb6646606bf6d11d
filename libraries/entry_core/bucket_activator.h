#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_ACTIVATOR_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_ACTIVATOR_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/bucket_state.h"
#include "libraries/entry_core/bucket_table.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/key_history.h"
#include "libraries/entry_core/membership.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// Ends this entry's acquisitions of buckets: decides when the promises suffice
// to act as home, and when every started key of a bucket is recorded.
class BucketActivator {
 public:
  BucketActivator(const EntryCoreSettings& configured,
                  const Membership& current_membership,
                  BucketTable& bucket_table, const AgentRegistry& registry,
                  const PeerDirectory& directory, const KeyHistory& key_history,
                  EntryOutbox& effects);

  struct Activation {
    std::vector<BucketId> activated;
    // Buckets of which every started key is recorded from now on.
    std::vector<BucketId> fully_recovered;
  };
  // Activates the buckets with enough promises.
  Activation ActivateReady(Timestamp now);
  // The lost entries that may have witnessed a key of `bucket` that is not yet
  // re-replicated to the remaining members.
  [[nodiscard]] std::vector<EntryId> UnreplicatedLosses(BucketId bucket) const;
  // How many times ActivateReady has examined a bucket.
  [[nodiscard]] std::uint64_t buckets_examined() const {
    return this->examined;
  }

 private:
  [[nodiscard]] std::set<EntryId> RequiredEntries(
      BucketId id, const BucketState& bucket) const;
  [[nodiscard]] bool HasAllEntryPromises(BucketId id,
                                         const BucketState& bucket) const;
  [[nodiscard]] bool HasAllAgentPromises(const BucketState& bucket) const;
  // EntriesDeadSince and AgentsDeadSince return the time at which the last of
  // those without a promise was proven dead, or nothing if one may be alive.
  // Keys created later can't have been started elsewhere.
  [[nodiscard]] std::optional<Timestamp> EntriesDeadSince(
      BucketId id, const BucketState& bucket) const;
  [[nodiscard]] std::optional<Timestamp> AgentsDeadSince(
      const BucketState& bucket) const;
  [[nodiscard]] std::optional<Timestamp> DeadSince(EntryId entry) const;
  [[nodiscard]] bool IsFullyRecovered(BucketId id,
                                      const BucketState& bucket) const;
  // Whether every member that may be alive has promised.
  [[nodiscard]] bool MembersHavePromised(const BucketState& bucket) const;
  bool TryActivate(BucketId id, BucketState& bucket, Timestamp now);
  // Until this time an acquisition waits for entries and agents that may still
  // reply: a home that activates without them must refuse older keys.
  [[nodiscard]] Timestamp ReplyDeadline(const BucketState& bucket) const {
    return bucket.begun_at + 2 * this->settings.repeat_interval;
  }

  EntryCoreSettings settings;
  const Membership& membership;
  BucketTable& buckets;
  const AgentRegistry& agents;
  const PeerDirectory& peers;
  const KeyHistory& history;
  EntryOutbox& outbox;
  std::uint64_t examined = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_ACTIVATOR_H_
