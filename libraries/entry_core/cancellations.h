#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CANCELLATIONS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CANCELLATIONS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/entry_outbox.h"
#include "libraries/entry_core/home_jobs.h"
#include "libraries/entry_core/ownership.h"
#include "libraries/entry_core/peer_directory.h"

namespace dandelionspur {

// Makes cancellings hold. Each entry that has recorded a key as cancelled tells
// the home of the key's bucket until it has confirmed that it knows, and again
// after each change of home. A home stops what agents still run of the job
// until they have said that it is gone. A caller that cancels is answered once
// further entries have recorded the cancelling, and all agents that are heard,
// more than half of those that are known. Agents outlive the entries, and start
// nothing of a job that they have recorded as cancelled, whoever asks.
class Cancellations {
 public:
  Cancellations(const EntryCoreSettings& configured, Ownership& owner,
                const PeerDirectory& directory, const AgentRegistry& registry,
                HomeJobs& jobs, EntryOutbox& effects);

  // A caller of this entry cancels the job; it is answered if `request` is set.
  // It is told at once that the cancelling doesn't hold if there is no room for
  // one more key of which no job is known.
  void OnCaller(const JobKey& key, std::optional<RequestId> request,
                Timestamp now);
  void OnMessage(EntryId from, const CancelJob& message, Timestamp now);
  void OnRenounceReply(AgentId from, const RenounceReply& message,
                       Timestamp now);
  // An agent has recorded that the job was cancelled.
  void Learn(const JobKey& key, Timestamp now);
  // Repeats what is not confirmed. Call it periodically.
  void Repeat(Timestamp now);
  // Answers the callers that have waited for long enough.
  void AnswerOverdue(Timestamp now);
  // This entry leaves the view, so it doesn't count as one that keeps the
  // record.
  void BeginDeparture() { this->leaving = true; }

  // Whether callers wait for the answer to a cancelling.
  [[nodiscard]] bool HasCallers() const;

 private:
  // Pauses before an entry that hasn't confirmed is told again.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(200);
  static constexpr Duration kLongestPause = std::chrono::seconds(2);

  struct WaitingCaller {
    RequestId request;
    Timestamp answer_by;
  };
  struct Cancelling {
    // The highest ballot whose owner has confirmed that it knows.
    Ballot confirmed;
    // The other entries that have confirmed that they know.
    std::set<EntryId> holders;
    // The agents that have recorded the cancelling.
    std::set<AgentId> agents;
    std::vector<WaitingCaller> callers;
    // The entry that was told last as home, and when it may be told again.
    EntryId told;
    Timestamp tell_from;
    Duration pause = kFirstPause;
  };

  // Whether there is room for the record of this key.
  [[nodiscard]] bool MayRecord(const JobKey& key) const;
  // Records the cancelling and ends the job if this entry is its home.
  void Record(const JobKey& key, Timestamp now);
  void TellHome(const JobKey& key, Cancelling& cancelling, Timestamp now);
  // Asks entries other than the home to record the cancelling, as many as are
  // missing.
  void AskHolders(const JobKey& key, const Cancelling& cancelling,
                  Timestamp now);
  // Asks the agents that haven't confirmed to record the cancelling.
  void AskAgents(const JobKey& key, const Cancelling& cancelling);
  void Send(EntryId to, const JobKey& key, CancelStep step);
  // Sends the agents that may run tasks of the job the order to stop them, and
  // asks what became of them.
  void StopRuns(const JobKey& key, Timestamp now);
  // The number of other entries that must know before a caller is answered.
  [[nodiscard]] std::size_t RequiredHolders() const;
  // Whether enough agents know. Entries that hear none, or only a few, may be
  // cut off together from another home and its agents.
  [[nodiscard]] bool AgentsHold(const Cancelling& cancelling,
                                Timestamp now) const;
  [[nodiscard]] bool Holds(const Cancelling& cancelling, Timestamp now) const {
    return cancelling.holders.size() >= this->RequiredHolders() &&
           this->AgentsHold(cancelling, now);
  }
  void AnswerIfHeld(const JobKey& key, Cancelling& cancelling, Timestamp now);

  EntryCoreSettings settings;
  Ownership& ownership;
  const PeerDirectory& peers;
  const AgentRegistry& agents;
  HomeJobs& home;
  EntryOutbox& outbox;
  std::map<JobKey, Cancelling> cancellings;
  bool leaving = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CANCELLATIONS_H_
