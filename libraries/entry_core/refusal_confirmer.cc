#include "libraries/entry_core/refusal_confirmer.h"

#include <algorithm>
#include <utility>

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
  const bool timed_out = this->round_in_progress &&
                         now >= this->begun_at + this->settings.repeat_interval;
  if (this->round_in_progress && !timed_out) return;
  this->round_in_progress = false;
  this->waiting.merge(this->asked);
  this->asked.clear();
  if (this->waiting.empty()) return;
  const std::optional<EntryId> entry = this->EntryToAsk(now);
  const std::optional<AgentId> agent = this->AgentToAsk();
  if (!agent) return;
  std::set<BucketBallot> ballots;
  for (const auto& [key, rerun] : this->waiting) {
    const BucketId bucket = this->ownership.BucketOfKey(key);
    // An entry that a taker of the bucket need not ask confirms nothing.
    const bool has_entry = entry && this->ownership.MayWitness(*entry, bucket);
    if (!has_entry && rerun == RerunPolicy::kNever) continue;
    ballots.insert({bucket, this->ownership.Promised(bucket)});
    this->asked.emplace(key, rerun);
  }
  if (this->asked.empty()) return;
  for (const auto& [key, rerun] : this->asked) this->waiting.erase(key);
  this->asked_ballots.assign(ballots.begin(), ballots.end());
  this->entry_confirmed.reset();
  this->agent_confirmed.reset();
  this->round_in_progress = true;
  this->begun_at = now;
  ++this->sequence;
  const ConfirmRequest request{this->sequence, this->asked_ballots};
  if (entry) this->outbox.ToPeer(*entry, request);
  this->outbox.ToAgent(*agent, request);
}

std::vector<ConfirmedRefusal> RefusalConfirmer::OnEntryReply(
    const ConfirmReply& reply) {
  if (!this->round_in_progress || reply.sequence != this->sequence) return {};
  this->entry_confirmed.emplace(reply.confirmed.begin(), reply.confirmed.end());
  return this->Conclude();
}

std::vector<ConfirmedRefusal> RefusalConfirmer::OnAgentReply(
    const ConfirmReply& reply) {
  if (!this->round_in_progress || reply.sequence != this->sequence) return {};
  this->agent_confirmed.emplace(reply.confirmed.begin(), reply.confirmed.end());
  return this->Conclude();
}

std::vector<ConfirmedRefusal> RefusalConfirmer::Conclude() {
  std::vector<ConfirmedRefusal> confirmed;
  if (!this->agent_confirmed) return confirmed;
  const auto holds = [&](const JobKey& key, RerunPolicy rerun) {
    const BucketId bucket = this->ownership.BucketOfKey(key);
    const bool confirmed_by_entry =
        rerun == RerunPolicy::kAfterLease ||
        (this->entry_confirmed && this->entry_confirmed->contains(bucket));
    const BucketBallot now{bucket, this->ownership.Promised(bucket)};
    const bool ballot_unchanged =
        std::find(this->asked_ballots.begin(), this->asked_ballots.end(),
                  now) != this->asked_ballots.end();
    return confirmed_by_entry && ballot_unchanged &&
           this->agent_confirmed->contains(bucket) &&
           this->ownership.IsActive(bucket);
  };
  const bool complete = this->entry_confirmed.has_value();
  for (const auto& [key, rerun] : std::exchange(this->asked, {})) {
    if (holds(key, rerun)) {
      confirmed.push_back({key, NotRunProof()});
    } else if (!complete && rerun == RerunPolicy::kNever) {
      // The other entry's reply is pending.
      this->asked.emplace(key, rerun);
    } else {
      this->waiting.emplace(key, rerun);
    }
  }
  this->round_in_progress = !this->asked.empty();
  return confirmed;
}

std::optional<AgentId> RefusalConfirmer::AgentToAsk() const {
  for (const auto& [id, known] : this->agents.all()) {
    if (known.connected && known.ready) return id;
  }
  return std::nullopt;
}

std::optional<EntryId> RefusalConfirmer::EntryToAsk(Timestamp now) const {
  return this->ownership.OldestConnectedMember(now);
}

}  // namespace dandelionspur
