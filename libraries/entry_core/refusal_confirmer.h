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

// A job for which it is proven that nothing of it was started elsewhere.
struct ConfirmedRefusal {
  JobKey key;
  NotRunProof proof;
};

// Proves refusals. A home knows what it did not start itself, but not what a
// successor runs; a successor needs the promise of all other entries or of
// all agents, so one entry and one agent that have promised nothing higher,
// asked after the submission came, rule it out. One round of questions is
// under way at a time and serves all jobs that waited when it began.
// A job that may run again is started by a successor only once the agents have
// promised, so for it the agent's answer is enough.
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
  // Begins a round if jobs wait and none is under way, or the last one got no
  // answer in time.
  void Advance(Timestamp now);
  // Returns the jobs that are proven by this reply and its counterpart.
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
  bool under_way = false;
  Timestamp begun_at;
  std::optional<std::set<BucketId>> entry_confirmed;
  std::optional<std::set<BucketId>> agent_confirmed;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSAL_CONFIRMER_H_
