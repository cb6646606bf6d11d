#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_STATE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_STATE_H_

#include <map>
#include <optional>
#include <set>

#include "libraries/entry_core/entry_events.h"
#include "libraries/entry_core/key_records.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// What this entry knows about one bucket: the ballots, its own acquisition and
// the keys.
struct BucketState {
  // The state of an entry immediately before it made a promise.
  struct PriorState {
    Ballot promised;
    Ballot held;
    bool knew_all_starts = false;
  };

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

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_BUCKET_STATE_H_
