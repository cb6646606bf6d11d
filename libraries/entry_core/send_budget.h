#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SEND_BUDGET_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SEND_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "libraries/base/time.h"

namespace dandelionspur {

// How many bytes of starts a home may pass to the link now. While the link is
// behind, tasks wait at the home, where the most urgent one is still chosen and
// one that has become useless is refused, and not in a send queue, where it
// would be sent regardless.
class SendBudget {
 public:
  // 0 bytes a second: no limit.
  explicit SendBudget(std::uint64_t link_bytes_per_second)
      : rate(static_cast<std::int64_t>(link_bytes_per_second)) {}

  // Records the bytes that wait for the link at `now`.
  void NoteBacklog(std::uint64_t bytes, Timestamp now) {
    this->backlog = static_cast<std::int64_t>(bytes);
    this->noted_at = now;
  }
  void NoteSent(std::uint64_t bytes) {
    this->backlog += static_cast<std::int64_t>(bytes);
  }
  // Whether a start sent at `now` would wait for the link only briefly.
  [[nodiscard]] bool HasRoom(Timestamp now) const {
    if (this->rate == 0) return true;
    constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
    const std::int64_t elapsed =
        std::max<std::int64_t>(0, (now - this->noted_at).count());
    const std::int64_t sent_since =
        std::min<std::int64_t>(elapsed, kMicrosecondsPerSecond) * this->rate /
        kMicrosecondsPerSecond;
    const std::int64_t allowed =
        this->rate * kMaximumWait.count() / kMicrosecondsPerSecond;
    return this->backlog - sent_since <= allowed;
  }

 private:
  static constexpr Duration kMaximumWait = std::chrono::milliseconds(100);

  std::int64_t rate;
  std::int64_t backlog = 0;
  Timestamp noted_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SEND_BUDGET_H_
