#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSAL_CONFIRMER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSAL_CONFIRMER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/entry_core/ownership.h"
#include "libraries/protocol/not_run_proof.h"

namespace dandelionspur {

// A job of which proof exists that no task was started by another entry.
struct ConfirmedRefusal {
  JobKey key;
  NotRunProof proof;
};

// Proves that refused jobs have not been started. The home, the entry that owns
// the bucket of the job's key, has a record of its own starts but not of those
// of a successor. A successor needs the promises of all other entries or of all
// agents. If one entry and one agent, asked after the submission arrived, have
// promised no higher ballot, no successor can have started the job. One round
// of requests is in progress at a time and covers all jobs that were waiting
// when it began.
// A successor starts a job that may run again only once the agents have
// promised, so for such a job the agent's reply is sufficient.
class RefusalConfirmer {
 public:
  RefusalConfirmer(const EntryCoreSettings& configured, Ownership& owner,
                   const AgentRegistry& registry, EntryOutbox& effects);

  void Add(const JobKey& key, RerunPolicy rerun) {
    this->waiting.emplace(key, rerun);
  }
  void Remove(const JobKey& key) {
    this->waiting.erase(key);
    this->asked.erase(key);
  }
  // Begins a round if jobs are waiting and no round is in progress, or if the
  // current round has timed out.
  void Advance(Timestamp now);
  // OnEntryReply and OnAgentReply return the jobs that the replies received so
  // far prove not started.
  std::vector<ConfirmedRefusal> OnEntryReply(const ConfirmReply& reply);
  std::vector<ConfirmedRefusal> OnAgentReply(const ConfirmReply& reply);

 private:
  std::vector<ConfirmedRefusal> Conclude();
  [[nodiscard]] std::optional<AgentId> AgentToAsk() const;
  [[nodiscard]] std::optional<EntryId> EntryToAsk(Timestamp now) const;

  EntryCoreSettings settings;
  Ownership& ownership;
  const AgentRegistry& agents;
  EntryOutbox& outbox;
  std::map<JobKey, RerunPolicy> waiting;
  std::map<JobKey, RerunPolicy> asked;
  std::vector<BucketBallot> asked_ballots;
  std::uint64_t sequence = 0;
  bool round_in_progress = false;
  Timestamp begun_at;
  std::optional<std::set<BucketId>> entry_confirmed;
  std::optional<std::set<BucketId>> agent_confirmed;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSAL_CONFIRMER_H_
