#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEY_HISTORY_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEY_HISTORY_H_

#include <optional>

#include "libraries/entry_core/agent_contacts.h"
#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/bucket_state.h"
#include "libraries/entry_core/bucket_table.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/membership.h"
#include "libraries/entry_core/recovery/agent_roster.h"
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

// What this entry can tell about the tasks that other homes may have started
// for a key, judged by the promises of its bucket and the contacts with agents.
class KeyHistory {
 public:
  KeyHistory(const EntryCoreSettings& configured,
             const Membership& current_membership, BucketTable& bucket_table,
             const AgentRegistry& registry, const AgentContacts& agent_contacts,
             const AgentRoster& agent_roster);

  [[nodiscard]] KeyStatus StatusOf(const JobSubmission& job, Timestamp now);
  [[nodiscard]] HistoryState HistoryOf(const JobSubmission& job,
                                       Timestamp now) const;
  // Whether every key that a former home may have started is recorded, or all
  // earlier runs are resolved. Keeps a positive result in the bucket.
  bool AllStartsRecorded(BucketState& bucket, Timestamp now) const;
  // Whether every run that another home has started in this bucket, or may
  // begin late, has ended or was reported with an agent's promise.
  [[nodiscard]] bool PriorRunsResolved(const BucketState& bucket,
                                       Timestamp now) const;
  // Whether no agent that this entry does not know can be running tasks. Only
  // an entry that has joined recently can lack agents.
  [[nodiscard]] bool KnowsAllRunningAgents(Timestamp now) const;
  // Whether no task that the agent has started can still be running, or begin
  // to run.
  [[nodiscard]] bool RunsAreOver(AgentId agent, StartConfirmation starts,
                                 Timestamp now) const;
  // The time at which that holds at the latest if nothing more is heard of the
  // agent; `now` for an unknown agent.
  [[nodiscard]] Timestamp RunsOverAt(AgentId agent, StartConfirmation starts,
                                     Timestamp now) const;
  // Of a job that may run again, and whose history is incomplete: the time at
  // which it is complete at the latest, if that depends only on agents that are
  // lost or can't be reached. Nothing if it may be complete at any time, since
  // others have yet to answer.
  [[nodiscard]] std::optional<Timestamp> HistoryCompleteAt(
      const JobSubmission& job, Timestamp now) const;

 private:
  [[nodiscard]] bool FormerHomeReportedAllStarts(const BucketState& bucket,
                                                 Timestamp now) const;
  // The same for an agent in the registry.
  [[nodiscard]] bool RunsAreOver(const KnownAgent& agent,
                                 StartConfirmation starts, Timestamp now) const;
  // Whether the agent is lost, or no entry has heard it for so long that it may
  // have ended. One that others hear may connect to this entry at any time.
  [[nodiscard]] bool IsUnreachable(const KnownAgent& agent,
                                   Timestamp now) const;
  // When an entry first saw the job's key, or an earlier time if that is not
  // known.
  [[nodiscard]] Timestamp FirstSeen(const BucketState& bucket,
                                    const JobSubmission& job) const;
  // Whether a recorded task of the key may still be running on a lost agent,
  // which can't be queried.
  [[nodiscard]] bool HasRunsOfLostAgents(const BucketState& bucket,
                                         const JobKey& key,
                                         Timestamp now) const;

  EntryCoreSettings settings;
  const Membership& membership;
  BucketTable& buckets;
  const AgentRegistry& agents;
  const AgentContacts& contacts;
  const AgentRoster& roster;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEY_HISTORY_H_
