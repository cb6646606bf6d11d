#include "libraries/entry_core/refusal_confirmer.h"

#include <algorithm>

namespace dandelionspur {

RefusalConfirmer::RefusalConfirmer(const EntryCoreSettings& configured,
                                   Ownership& owner,
                                   const AgentRegistry& registry,
                                   EntryOutbox& effects)
    : settings(configured),
      ownership(owner),
      agents(registry),
      outbox(effects) {}

void RefusalConfirmer::Advance(Timestamp now) {
  const bool answered_late =
      this->under_way && now >= this->begun_at + this->settings.repeat_interval;
  if (this->under_way && !answered_late) return;
  this->under_way = false;
  this->waiting.merge(this->asked);
  this->asked.clear();
  if (this->waiting.empty()) return;
  const std::optional<EntryId> entry = this->EntryToAsk(now);
  const std::optional<AgentId> agent = this->AgentToAsk();
  if (!entry || !agent) return;
  std::set<BucketBallot> ballots;
  for (const JobKey& key : this->waiting) {
    const BucketId bucket = this->ownership.BucketOfKey(key);
    ballots.insert({bucket, this->ownership.Promised(bucket)});
  }
  this->asked.swap(this->waiting);
  this->asked_ballots.assign(ballots.begin(), ballots.end());
  this->entry_confirmed.reset();
  this->agent_confirmed.reset();
  this->under_way = true;
  this->begun_at = now;
  ++this->sequence;
  const ConfirmRequest request{this->sequence, this->asked_ballots};
  this->outbox.ToPeer(*entry, request);
  this->outbox.ToAgent(*agent, request);
}

std::vector<ConfirmedRefusal> RefusalConfirmer::OnEntryReply(
    const ConfirmReply& reply) {
  if (!this->under_way || reply.sequence != this->sequence) return {};
  this->entry_confirmed.emplace(reply.confirmed.begin(), reply.confirmed.end());
  return this->Conclude();
}

std::vector<ConfirmedRefusal> RefusalConfirmer::OnAgentReply(
    const ConfirmReply& reply) {
  if (!this->under_way || reply.sequence != this->sequence) return {};
  this->agent_confirmed.emplace(reply.confirmed.begin(), reply.confirmed.end());
  return this->Conclude();
}

std::vector<ConfirmedRefusal> RefusalConfirmer::Conclude() {
  std::vector<ConfirmedRefusal> confirmed;
  if (!this->entry_confirmed || !this->agent_confirmed) return confirmed;
  std::set<BucketId> proven;
  for (const BucketBallot& question : this->asked_ballots) {
    const bool holds =
        this->entry_confirmed->contains(question.bucket) &&
        this->agent_confirmed->contains(question.bucket) &&
        this->ownership.IsActive(question.bucket) &&
        this->ownership.Promised(question.bucket) == question.ballot;
    if (holds) proven.insert(question.bucket);
  }
  for (const JobKey& key : this->asked) {
    if (proven.contains(this->ownership.BucketOfKey(key))) {
      confirmed.push_back({key, NotRunProof()});
    } else {
      this->waiting.insert(key);
    }
  }
  this->asked.clear();
  this->under_way = false;
  return confirmed;
}

std::optional<AgentId> RefusalConfirmer::AgentToAsk() const {
  for (const auto& [id, known] : this->agents.all()) {
    if (known.connected && known.ready) return id;
  }
  return std::nullopt;
}

std::optional<EntryId> RefusalConfirmer::EntryToAsk(Timestamp now) const {
  return this->ownership.WitnessFor(BucketId(0), now);
}

}  // namespace dandelionspur
