#include "libraries/agent_core/credit_ledger.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Differences between two entries that are not worth a message.
constexpr std::uint32_t kTolerance = 1;
}  // namespace

void CreditLedger::EntryJoined(EntryId entry) {
  if (this->Find(entry) != nullptr) this->EntryLeft(entry);
  this->holders.push_back({entry});
}

void CreditLedger::EntryLeft(EntryId entry) {
  const Holder* holder = this->Find(entry);
  if (holder == nullptr) return;
  this->orphans += holder->running;
  std::erase_if(this->holders,
                [&](const Holder& other) { return other.entry == entry; });
}

void CreditLedger::SetDemand(EntryId entry, std::uint32_t queued) {
  Holder* holder = this->Find(entry);
  if (holder != nullptr) holder->queued = queued;
}

bool CreditLedger::Consume(EntryId entry) {
  Holder* holder = this->Find(entry);
  if (holder == nullptr) return false;
  if (holder->credits > 0) {
    --holder->credits;
  } else if (this->FreeSlots() == 0) {
    return false;
  }
  ++holder->running;
  return true;
}

void CreditLedger::Release(EntryId entry) {
  Holder* holder = this->Find(entry);
  if (holder != nullptr && holder->running > 0) {
    --holder->running;
  } else if (this->orphans > 0) {
    --this->orphans;
  }
}

void CreditLedger::Return(EntryId entry, std::uint32_t credits) {
  Holder* holder = this->Find(entry);
  if (holder == nullptr) return;
  holder->credits -= std::min(holder->credits, credits);
  holder->recalled = false;
}

std::vector<Grant> CreditLedger::Distribute(EntryId preferred) {
  std::vector<Grant> grants;
  for (std::uint32_t free = this->FreeSlots(); free > 0; --free) {
    Holder* holder = this->Neediest(preferred);
    if (holder == nullptr) return grants;
    ++holder->credits;
    holder->recalled = false;
    const auto existing = std::find_if(
        grants.begin(), grants.end(),
        [&](const Grant& grant) { return grant.entry == holder->entry; });
    if (existing == grants.end()) {
      grants.push_back({holder->entry, 1});
    } else {
      ++existing->credits;
    }
  }
  return grants;
}

std::optional<EntryId> CreditLedger::NextRecall() {
  const bool starved = std::any_of(
      this->holders.begin(), this->holders.end(), [](const Holder& holder) {
        return holder.queued > 0 && holder.credits == 0;
      });
  if (!starved || this->FreeSlots() > 0) return std::nullopt;
  for (Holder& holder : this->holders) {
    if (holder.credits == 0 || holder.queued > 0 || holder.recalled) continue;
    holder.recalled = true;
    return holder.entry;
  }
  return std::nullopt;
}

CreditLedger::Holder* CreditLedger::Find(EntryId entry) {
  for (Holder& holder : this->holders) {
    if (holder.entry == entry) return &holder;
  }
  return nullptr;
}

CreditLedger::Holder* CreditLedger::Neediest(EntryId preferred) {
  Holder* favourite = this->Find(preferred);
  Holder* best = favourite;
  for (Holder& holder : this->holders) {
    const std::uint32_t tolerance = best == favourite ? kTolerance : 0;
    if (best == nullptr || NeedsMore(holder, *best, tolerance)) best = &holder;
  }
  return best;
}

bool CreditLedger::NeedsMore(const Holder& candidate, const Holder& other,
                             std::uint32_t tolerance) {
  const bool candidate_unmet = candidate.queued > candidate.credits;
  const bool other_unmet = other.queued > other.credits;
  if (candidate_unmet != other_unmet) return candidate_unmet;
  // Without demand a slot stays where it is, as long as every entry can start
  // its next task at once; a recall moves it when it is needed.
  if (!candidate_unmet && tolerance > 0) {
    return candidate.credits == 0 && other.credits > 0;
  }
  return candidate.credits + candidate.running + tolerance <
         other.credits + other.running;
}

std::uint32_t CreditLedger::FreeSlots() const {
  std::uint32_t used = this->orphans;
  for (const Holder& holder : this->holders) {
    used += holder.credits + holder.running;
  }
  return used >= this->slots ? 0 : this->slots - used;
}

}  // namespace dandelionspur
