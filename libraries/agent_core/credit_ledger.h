#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_CREDIT_LEDGER_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_CREDIT_LEDGER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/identifiers.h"

namespace dandelionspur {

struct Grant {
  EntryId entry;
  std::uint32_t credits = 0;
};

// Shares one upstream's slots among the entries. A credit is the right to one
// start; credits and running tasks together never exceed the slots, so a
// start is refused only after a cut. Freed slots go first to the entry with
// demand that has the least, then evenly.
class CreditLedger {
 public:
  void SetSlots(std::uint32_t count) { this->slots = count; }
  void EntryJoined(EntryId entry);
  // The entry's connection has ended, and with it the credits it held.
  void EntryLeft(EntryId entry);
  // The entry reports how many tasks it queues.
  void SetDemand(EntryId entry, std::uint32_t queued);
  // A start by `entry`; false where no slot is free.
  bool Consume(EntryId entry);
  // A task that `entry` started has ended.
  void Release(EntryId entry);
  void Return(EntryId entry, std::uint32_t credits);
  // Hands out the free slots, at most one grant for each entry. Where others
  // need them no more, `preferred` gets them: a grant to it rides on a message
  // that goes there anyway.
  std::vector<Grant> Distribute(EntryId preferred);
  // An entry without demand that holds credits another one lacks; asked at
  // most once until it answers or uses them.
  std::optional<EntryId> NextRecall();

 private:
  struct Holder {
    EntryId entry;
    std::uint32_t credits = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool recalled = false;
  };

  Holder* Find(EntryId entry);
  Holder* Neediest(EntryId preferred);
  static bool NeedsMore(const Holder& candidate, const Holder& other,
                        std::uint32_t tolerance);
  [[nodiscard]] std::uint32_t FreeSlots() const;

  std::uint32_t slots = 0;
  // Running tasks whose entry has gone.
  std::uint32_t orphans = 0;
  std::vector<Holder> holders;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_CREDIT_LEDGER_H_
