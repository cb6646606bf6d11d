#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_ADDRESS_CLAIM_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_ADDRESS_CLAIM_H_

#include <chrono>
#include <optional>

#include "libraries/base/time.h"

namespace dandelionspur {

// Whether the table lists the agent's address as one at which tasks may run.
// After the loss of all entries, new ones wait for each address that is listed.
// So one without an upstream is released, and claimed before the next task is
// started. docs/design/recovery-of-all.md has the argument.
class AddressClaim {
 public:
  // `claims`: whether the table has a list at all. Without one, every address
  // counts as listed for good.
  explicit AddressClaim(bool claims)
      : is_used(claims), state(claims ? State::kReleased : State::kClaimed) {}

  // Whether an upstream may be there, and whether it has announced its end.
  enum class Upstream { kPresent, kSilent, kDeparted };

  // Records what is at the address. Returns whether it is to be released now.
  bool Release(Upstream upstream, Timestamp now) {
    if (!this->is_used) return false;
    if (upstream == Upstream::kPresent) {
      this->vacant_since.reset();
      return false;
    }
    if (this->state != State::kClaimed) return false;
    if (!this->vacant_since) this->vacant_since = now;
    const bool is_due = upstream == Upstream::kDeparted ||
                        now - *this->vacant_since >= kReleasedAfter;
    if (is_due) this->state = State::kReleased;
    return is_due;
  }
  // Entries may have released the address, since they have heard nothing of the
  // agent for long.
  void NoteLongSilence() {
    if (this->is_used && this->state == State::kClaimed) {
      this->state = State::kReleased;
    }
  }
  // An upstream is there. Returns whether the address is to be claimed now.
  bool BeginClaim() {
    if (this->state != State::kReleased) return false;
    this->state = State::kClaiming;
    return true;
  }
  // The table lists the address, and a view was read since.
  void NoteClaimed() {
    if (this->state == State::kClaiming) this->state = State::kClaimed;
  }
  // Whether the agent may become ready: the view that it uses was read after
  // its address had been listed.
  [[nodiscard]] bool is_claimed() const {
    return this->state == State::kClaimed;
  }
  // Whether the address need not be listed, since nothing runs there.
  [[nodiscard]] bool is_released() const {
    return this->state == State::kReleased;
  }

 private:
  enum class State { kClaimed, kReleased, kClaiming };

  // A claim needs the table, so an upstream that is silent for a moment is not
  // given up.
  static constexpr Duration kReleasedAfter = std::chrono::seconds(5);

  bool is_used;
  State state;
  std::optional<Timestamp> vacant_since;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_ADDRESS_CLAIM_H_
