#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSED_ATTEMPTS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSED_ATTEMPTS_H_

#include <deque>
#include <set>

#include "libraries/entry_core/home_job.h"

namespace dandelionspur {

// The relayed attempts that were answered "not run". A delayed duplicate of
// one must start nothing, or the answer would become untrue.
class RefusedAttempts {
 public:
  explicit RefusedAttempts(Duration window) : duplicate_window(window) {}

  void Add(const RelayOrigin& origin, Timestamp now) {
    if (!this->attempts.insert({origin.entry, origin.attempt}).second) return;
    this->order.push_back({{origin.entry, origin.attempt}, now});
  }
  [[nodiscard]] bool Contains(const RelayOrigin& origin) const {
    return this->attempts.contains({origin.entry, origin.attempt});
  }
  void Expire(Timestamp now) {
    while (!this->order.empty() &&
           this->order.front().since + this->duplicate_window < now) {
      this->attempts.erase(this->order.front().attempt);
      this->order.pop_front();
    }
  }

 private:
  struct Attempt {
    EntryId entry;
    AttemptNumber number;
    auto operator<=>(const Attempt&) const = default;
  };
  struct Remembered {
    Attempt attempt;
    Timestamp since;
  };

  Duration duplicate_window;
  std::set<Attempt> attempts;
  std::deque<Remembered> order;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_REFUSED_ATTEMPTS_H_
