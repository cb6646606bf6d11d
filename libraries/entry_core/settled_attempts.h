#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SETTLED_ATTEMPTS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SETTLED_ATTEMPTS_H_

#include <deque>
#include <map>

#include "libraries/entry_core/home_job.h"

namespace dandelionspur {

// The relayed attempts that were answered "not run" or returned to their
// sender. Neither they nor earlier attempts of the same sender at the job may
// start anything any more: an earlier one may still be unread on a connection
// that has broken since, and the sender has given a final answer by then, or
// has asked another entry.
class SettledAttempts {
 public:
  explicit SettledAttempts(Duration window) : duplicate_window(window) {}

  void Add(const JobKey& key, const RelayOrigin& origin, Timestamp now) {
    const Relayed relayed{origin.entry, key};
    AttemptNumber& highest = this->attempts[relayed];
    if (origin.attempt <= highest) return;
    highest = origin.attempt;
    this->order.push_back({relayed, origin.attempt, now});
  }
  [[nodiscard]] bool Contains(const JobKey& key,
                              const RelayOrigin& origin) const {
    const auto found = this->attempts.find({origin.entry, key});
    return found != this->attempts.end() && origin.attempt <= found->second;
  }
  void Expire(Timestamp now) {
    while (!this->order.empty() &&
           this->order.front().since + this->duplicate_window < now) {
      const Remembered& oldest = this->order.front();
      const auto found = this->attempts.find(oldest.relayed);
      const bool is_highest =
          found != this->attempts.end() && found->second == oldest.attempt;
      if (is_highest) this->attempts.erase(found);
      this->order.pop_front();
    }
  }

 private:
  struct Relayed {
    EntryId sender;
    JobKey key;
    auto operator<=>(const Relayed&) const = default;
  };
  struct Remembered {
    Relayed relayed;
    AttemptNumber attempt;
    Timestamp since;
  };

  Duration duplicate_window;
  // The highest one of each sender and job.
  std::map<Relayed, AttemptNumber> attempts;
  std::deque<Remembered> order;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SETTLED_ATTEMPTS_H_
