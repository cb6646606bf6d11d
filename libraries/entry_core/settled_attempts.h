#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SETTLED_ATTEMPTS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SETTLED_ATTEMPTS_H_

#include <algorithm>
#include <deque>
#include <map>

#include "libraries/entry_core/home_job.h"

namespace dandelionspur {

// The relay attempts that were answered "not run" or returned to their sender.
// Neither these attempts nor earlier ones of the same sender for the same job
// may start a task any more. An earlier attempt may be received late, from a
// connection that has broken since, when the sender has already given a final
// answer or relayed the job to another entry.
class SettledAttempts {
 public:
  explicit SettledAttempts(Duration window) : duplicate_window(window) {}

  // `starts`: whether tasks may have been started for the attempt.
  void Add(const JobKey& key, const RelayOrigin& origin, RelayedStarts starts,
           Timestamp now) {
    const SenderAndJob sender_and_job{origin.entry, key};
    Settled& settled = this->attempts[sender_and_job];
    settled.starts = std::max(settled.starts, starts);
    if (origin.attempt <= settled.highest) return;
    settled.highest = origin.attempt;
    this->order.push_back({sender_and_job, origin.attempt, now});
  }
  [[nodiscard]] bool Contains(const JobKey& key,
                              const RelayOrigin& origin) const {
    const auto found = this->attempts.find({origin.entry, key});
    return found != this->attempts.end() &&
           origin.attempt <= found->second.highest;
  }
  // Whether tasks may have been started for any of the sender's attempts. The
  // message that said so may have been lost with its connection.
  [[nodiscard]] RelayedStarts StartsOf(const JobKey& key,
                                       EntryId sender) const {
    const auto found = this->attempts.find({sender, key});
    return found == this->attempts.end() ? RelayedStarts::kNone
                                         : found->second.starts;
  }
  void Expire(Timestamp now) {
    while (!this->order.empty() &&
           this->order.front().inserted_at + this->duplicate_window < now) {
      const Insertion& oldest = this->order.front();
      const auto found = this->attempts.find(oldest.sender_and_job);
      const bool is_highest = found != this->attempts.end() &&
                              found->second.highest == oldest.attempt;
      if (is_highest) this->attempts.erase(found);
      this->order.pop_front();
    }
  }

 private:
  struct SenderAndJob {
    EntryId sender;
    JobKey key;
    auto operator<=>(const SenderAndJob&) const = default;
  };
  struct Settled {
    AttemptNumber highest;
    RelayedStarts starts = RelayedStarts::kNone;
  };
  struct Insertion {
    SenderAndJob sender_and_job;
    AttemptNumber attempt;
    Timestamp inserted_at;
  };

  Duration duplicate_window;
  // The settled attempts of each sender and job.
  std::map<SenderAndJob, Settled> attempts;
  std::deque<Insertion> order;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SETTLED_ATTEMPTS_H_
