#include "libraries/entry_core/hand_over.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// A key of which only one member knew could be lost with the exemption of a
// former home.
constexpr std::size_t kHoldersPerKey = 2;
// About 30 kB: a hundredth of a second of a link of 25 Mbit/s.
constexpr std::size_t kKeysPerMessage = 1024;

}  // namespace

KeyHandOver::KeyHandOver(const EntryCoreSettings& configured, Ownership& owner,
                         PeerDirectory& directory, EntryOutbox& effects)
    : settings(configured),
      ownership(owner),
      peers(directory),
      outbox(effects) {}

void KeyHandOver::ReReplicate(const std::vector<BucketId>& buckets,
                              Timestamp now) {
  bool added = false;
  for (const BucketId bucket : buckets) {
    std::vector<EntryId> losses = this->ownership.UnreplicatedLosses(bucket);
    if (losses.empty()) continue;
    const auto begun = this->replacements.find(bucket);
    if (begun != this->replacements.end()) {
      if (this->IsInForce(bucket, begun->second)) continue;
      this->DropCopies(bucket);
    }
    this->replacements[bucket] = {std::move(losses),
                                  this->ownership.Promised(bucket)};
    this->AddCopy(Purpose::kBallotCheck, bucket, {});
    this->AddCopies(Purpose::kReplication, bucket,
                    this->ownership.KeysOf(bucket));
    added = true;
  }
  if (added) this->Continue(now);
}

void KeyHandOver::BeginDeparture(Timestamp now) {
  this->departing = true;
  this->ownership.TrackNewKeys();
  for (std::uint32_t i = 0; i < this->settings.bucket_count; ++i) {
    const BucketId bucket(i);
    this->AddCopies(Purpose::kDeparture, bucket,
                    this->ownership.KeysOf(bucket));
  }
  this->Continue(now);
}

bool KeyHandOver::DepartureComplete() const {
  if (!this->departing) return false;
  return std::all_of(
      this->copies.begin(), this->copies.end(), [&](const auto& item) {
        const Copy& copy = item.second;
        return copy.purpose != Purpose::kDeparture || this->IsComplete(copy);
      });
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
  const auto found = this->receivers.find(from);
  if (found == this->receivers.end()) return;
  Receiver& receiver = found->second;
  const bool expected =
      !receiver.in_flight.empty() && receiver.sequence == reply.sequence;
  if (!expected) return;
  this->DropReplaced(reply.higher);
  std::set<BucketId> acknowledged;
  for (const CopyId id : receiver.in_flight) {
    const auto copy = this->copies.find(id);
    if (copy == this->copies.end()) continue;
    copy->second.holders.insert(from);
    if (copy->second.purpose == Purpose::kDeparture) continue;
    acknowledged.insert(copy->second.bucket);
  }
  receiver.in_flight.clear();
  this->AnnounceReplicated(acknowledged);
  this->SendNext(from, receiver);
}

void KeyHandOver::ResumeTo(EntryId entry) {
  const auto found = this->receivers.find(entry);
  if (found == this->receivers.end()) return;
  if (!this->peers.IsConnected(entry)) return;
  if (found->second.in_flight.empty()) {
    this->SendNext(entry, found->second);
  } else {
    this->Send(entry, found->second);
  }
}

void KeyHandOver::OnViewChange(Timestamp now) {
  const View& view = this->ownership.view();
  const bool left = view.Find(this->settings.self) == nullptr;
  this->replacements.clear();
  std::erase_if(this->copies, [&](const auto& item) {
    return left || item.second.purpose != Purpose::kDeparture;
  });
  const auto is_gone = [&](EntryId entry) {
    return view.Find(entry) == nullptr;
  };
  std::erase_if(this->receivers,
                [&](const auto& item) { return left || is_gone(item.first); });
  if (left || !this->departing) return;
  for (auto& [id, copy] : this->copies) {
    std::erase_if(copy.receivers, is_gone);
    std::erase_if(copy.holders, is_gone);
  }
  for (const auto& [bucket, keys] : this->ownership.TakeNewKeys()) {
    this->AddCopies(Purpose::kDeparture, bucket, keys);
  }
  this->Continue(now);
}

void KeyHandOver::AddCopies(Purpose purpose, BucketId bucket,
                            const std::vector<KnownKey>& keys) {
  for (std::size_t first = 0; first < keys.size(); first += kKeysPerMessage) {
    const std::size_t last = std::min(keys.size(), first + kKeysPerMessage);
    this->AddCopy(purpose, bucket,
                  {keys.begin() + static_cast<std::ptrdiff_t>(first),
                   keys.begin() + static_cast<std::ptrdiff_t>(last)});
  }
}

void KeyHandOver::AddCopy(Purpose purpose, BucketId bucket,
                          std::vector<KnownKey> keys) {
  Copy copy;
  copy.purpose = purpose;
  copy.bucket = bucket;
  copy.keys = std::move(keys);
  this->copies.emplace(++this->last_copy, std::move(copy));
}

std::size_t KeyHandOver::RequiredHolders(const Copy& copy) const {
  const View& view = this->ownership.view();
  const bool is_member = view.Find(this->settings.self) != nullptr;
  const std::size_t others = view.members.size() - (is_member ? 1 : 0);
  if (copy.purpose == Purpose::kBallotCheck) return others;
  return std::min(others, kHoldersPerKey);
}

void KeyHandOver::Continue(Timestamp now) {
  for (auto& [id, copy] : this->copies) this->Assign(id, copy, now);
  for (auto& [entry, receiver] : this->receivers) {
    this->SendNext(entry, receiver);
  }
}

void KeyHandOver::Assign(CopyId id, Copy& copy, Timestamp now) {
  const std::size_t required = this->RequiredHolders(copy);
  if (copy.holders.size() >= required) return;
  const auto is_reachable = [&](EntryId entry) {
    return this->peers.IsConnected(entry) &&
           !this->peers.IsSuspected(entry, now);
  };
  auto expected = static_cast<std::size_t>(std::count_if(
      copy.receivers.begin(), copy.receivers.end(), [&](EntryId entry) {
        return copy.holders.contains(entry) || is_reachable(entry);
      }));
  for (const EntryId entry : this->ownership.MembersByRank(copy.bucket)) {
    if (expected >= required) return;
    if (entry == this->settings.self) continue;
    if (copy.receivers.contains(entry) || !is_reachable(entry)) continue;
    copy.receivers.insert(entry);
    this->receivers[entry].queued.push_back(id);
    ++expected;
  }
}

void KeyHandOver::SendNext(EntryId to, Receiver& receiver) {
  if (!receiver.in_flight.empty() || !this->peers.IsConnected(to)) return;
  std::size_t keys = 0;
  while (!receiver.queued.empty()) {
    const CopyId id = receiver.queued.front();
    const auto copy = this->copies.find(id);
    const bool is_needed =
        copy != this->copies.end() && !this->IsComplete(copy->second);
    if (is_needed) {
      const std::size_t size = copy->second.keys.size();
      if (keys > 0 && keys + size > kKeysPerMessage) break;
      keys += size;
      receiver.in_flight.push_back(id);
    } else if (copy != this->copies.end()) {
      copy->second.receivers.erase(to);
    }
    receiver.queued.pop_front();
  }
  if (receiver.in_flight.empty()) return;
  receiver.sequence = ++this->last_sequence;
  this->Send(to, receiver);
}

void KeyHandOver::Send(EntryId to, const Receiver& receiver) {
  HandOver message;
  message.sequence = receiver.sequence;
  std::set<BucketId> checked;
  for (const CopyId id : receiver.in_flight) {
    const auto found = this->copies.find(id);
    if (found == this->copies.end()) continue;
    const Copy& copy = found->second;
    message.keys.insert(message.keys.end(), copy.keys.begin(), copy.keys.end());
    if (copy.purpose == Purpose::kDeparture) continue;
    if (!checked.insert(copy.bucket).second) continue;
    const auto replacement = this->replacements.find(copy.bucket);
    if (replacement == this->replacements.end()) continue;
    message.buckets.push_back({copy.bucket, replacement->second.ballot});
  }
  this->outbox.ToPeer(to, std::move(message));
}

bool KeyHandOver::IsInForce(BucketId bucket,
                            const Replacement& replacement) const {
  return this->ownership.IsActive(bucket) &&
         this->ownership.Promised(bucket) == replacement.ballot;
}

void KeyHandOver::DropCopies(BucketId bucket) {
  std::erase_if(this->copies, [&](const auto& item) {
    return item.second.bucket == bucket &&
           item.second.purpose != Purpose::kDeparture;
  });
}

void KeyHandOver::DropReplaced(const std::vector<BucketBallot>& higher) {
  for (const BucketBallot& lost : higher) {
    const auto replacement = this->replacements.find(lost.bucket);
    const bool is_lost = replacement != this->replacements.end() &&
                         replacement->second.ballot < lost.ballot;
    if (!is_lost) continue;
    this->replacements.erase(replacement);
    this->DropCopies(lost.bucket);
  }
}

void KeyHandOver::AnnounceReplicated(const std::set<BucketId>& buckets) {
  if (buckets.empty()) return;
  std::set<BucketId> complete = buckets;
  for (const auto& [id, copy] : this->copies) {
    if (copy.purpose == Purpose::kDeparture) continue;
    if (!this->IsComplete(copy)) complete.erase(copy.bucket);
  }
  std::map<std::vector<EntryId>, std::vector<BucketId>> announced;
  for (const BucketId bucket : complete) {
    const auto found = this->replacements.find(bucket);
    if (found == this->replacements.end()) continue;
    if (this->IsInForce(bucket, found->second)) {
      announced[found->second.losses].push_back(bucket);
    }
    this->replacements.erase(found);
  }
  std::erase_if(this->copies, [&](const auto& item) {
    return item.second.purpose != Purpose::kDeparture &&
           complete.contains(item.second.bucket);
  });
  for (const auto& [lost, replicated] : announced) {
    this->AnnounceReplicated(lost, replicated);
  }
}

void KeyHandOver::AnnounceReplicated(const std::vector<EntryId>& lost,
                                     const std::vector<BucketId>& buckets) {
  for (const BucketId bucket : buckets) {
    for (const EntryId entry : lost) {
      this->ownership.MarkReReplicated(bucket, entry);
    }
  }
  for (const ViewMember& member : this->ownership.view().members) {
    if (member.entry == this->settings.self) continue;
    this->outbox.ToPeer(member.entry, KeysReplicated{buckets, lost});
  }
}

}  // namespace dandelionspur
