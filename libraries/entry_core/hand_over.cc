#include "libraries/entry_core/hand_over.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {

KeyHandOver::KeyHandOver(const EntryCoreSettings& configured, Ownership& owner,
                         PeerDirectory& directory, EntryOutbox& effects)
    : settings(configured),
      ownership(owner),
      peers(directory),
      outbox(effects) {}

void KeyHandOver::ReReplicate(const std::vector<BucketId>& buckets) {
  HandOver message;
  std::set<EntryId> losses;
  for (const BucketId bucket : buckets) {
    const std::vector<EntryId> unreplicated =
        this->ownership.UnreplicatedLosses(bucket);
    if (unreplicated.empty()) continue;
    losses.insert(unreplicated.begin(), unreplicated.end());
    message.buckets.push_back({bucket, this->ownership.Promised(bucket)});
    const std::vector<KnownKey> keys = this->ownership.KeysOf(bucket);
    message.keys.insert(message.keys.end(), keys.begin(), keys.end());
  }
  if (losses.empty()) return;
  this->Begin(std::move(message), {losses.begin(), losses.end()});
}

void KeyHandOver::BeginDeparture() {
  HandOver message;
  message.keys = this->ownership.AllKeys();
  this->departure = this->Begin(std::move(message), {});
}

void KeyHandOver::Answer(EntryId from, const HandOver& message, Timestamp now) {
  HandOverReply reply;
  reply.sequence = message.sequence;
  for (const BucketBallot& bucket : message.buckets) {
    if (bucket.bucket.value() >= this->settings.bucket_count) continue;
    const Ballot promised = this->ownership.Promised(bucket.bucket);
    if (promised > bucket.ballot) {
      reply.higher.push_back({bucket.bucket, promised});
    }
  }
  // Recording additional keys is safe under any ballot.
  for (const KnownKey& key : message.keys) {
    this->ownership.RememberInherited(key, now);
  }
  this->outbox.ToPeer(from, std::move(reply));
}

void KeyHandOver::OnReply(EntryId from, const HandOverReply& reply) {
  const auto found = this->rounds.find(reply.sequence);
  if (found == this->rounds.end()) return;
  Round& round = found->second;
  for (const BucketBallot& lost : reply.higher) {
    std::erase_if(round.message.buckets, [&](const BucketBallot& bucket) {
      return bucket.bucket == lost.bucket;
    });
  }
  round.pending.erase(from);
  if (!round.pending.empty() || this->departure == reply.sequence) return;
  KeysReplicated healed;
  healed.lost = round.losses;
  for (const BucketBallot& bucket : round.message.buckets) {
    const bool still_home =
        this->ownership.IsActive(bucket.bucket) &&
        this->ownership.Promised(bucket.bucket) == bucket.ballot;
    if (still_home) healed.buckets.push_back(bucket.bucket);
  }
  for (const BucketId bucket : healed.buckets) {
    for (const EntryId lost : healed.lost) {
      this->ownership.MarkReReplicated(bucket, lost);
    }
  }
  for (const ViewMember& member : this->ownership.view().members) {
    if (member.entry == this->settings.self) continue;
    this->outbox.ToPeer(member.entry, healed);
  }
  this->rounds.erase(found);
}

void KeyHandOver::RepeatRequests() {
  for (const auto& [sequence, round] : this->rounds) this->Send(round);
}

void KeyHandOver::RepeatRequestsTo(EntryId entry) {
  if (!this->peers.IsConnected(entry)) return;
  for (const auto& [sequence, round] : this->rounds) {
    if (round.pending.contains(entry)) {
      this->outbox.ToPeer(entry, round.message);
    }
  }
}

void KeyHandOver::OnViewChange() {
  this->rounds.clear();
  if (!this->departure) return;
  this->departure.reset();
  this->BeginDeparture();
}

std::uint64_t KeyHandOver::Begin(HandOver message,
                                 std::vector<EntryId> losses) {
  message.sequence = ++this->last_sequence;
  Round round{std::move(message), {}, std::move(losses)};
  for (const ViewMember& member : this->ownership.view().members) {
    if (member.entry != this->settings.self) {
      round.pending.insert(member.entry);
    }
  }
  this->Send(round);
  const std::uint64_t sequence = round.message.sequence;
  this->rounds.emplace(sequence, std::move(round));
  return sequence;
}

void KeyHandOver::Send(const Round& round) {
  for (const EntryId entry : round.pending) {
    if (this->peers.IsConnected(entry)) {
      this->outbox.ToPeer(entry, round.message);
    }
  }
}

}  // namespace dandelionspur
