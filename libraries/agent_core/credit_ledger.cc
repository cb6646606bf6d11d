#include "libraries/agent_core/credit_ledger.h"

#include <algorithm>

namespace dandelionspur {

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

std::vector<Grant> CreditLedger::Distribute() {
  std::vector<Grant> grants;
  for (std::uint32_t free = this->FreeSlots(); free > 0; --free) {
    Holder* holder = this->Neediest();
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

CreditLedger::Holder* CreditLedger::Neediest() {
  Holder* best = nullptr;
  const auto unmet = [](const Holder& holder) {
    return holder.queued > holder.credits;
  };
  for (Holder& holder : this->holders) {
    if (best == nullptr) {
      best = &holder;
      continue;
    }
    if (unmet(holder) != unmet(*best)) {
      if (unmet(holder)) best = &holder;
      continue;
    }
    if (holder.credits + holder.running < best->credits + best->running) {
      best = &holder;
    }
  }
  return best;
}

std::uint32_t CreditLedger::FreeSlots() const {
  std::uint32_t used = this->orphans;
  for (const Holder& holder : this->holders) {
    used += holder.credits + holder.running;
  }
  return used >= this->slots ? 0 : this->slots - used;
}

}  // namespace dandelionspur
