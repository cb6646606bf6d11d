#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CALL_QUEUE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CALL_QUEUE_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/entry_core/answer_times.h"

namespace dandelionspur {

// New jobs of callers that wait for their turn at this entry, and which of them
// comes next: the oldest while the entry keeps up, the newest while it is
// behind, since the oldest have the least time left (adaptive LIFO), and none
// that is of no use any more. While the queue lasts, calls wait for a shorter
// time before they are refused, so that their callers learn early that they
// should try elsewhere (controlled delay). Both: Maurer, Fail at Scale, ACM
// Queue 13(8), 2015; the latter after Nichols, Jacobson, Controlling Queue
// Delay, ACM Queue 10(5), 2012.
template <typename Call>
class CallQueue {
 public:
  // A call that is to be handled now.
  struct Due {
    Call call;
    Duration waited{};
  };
  // A call that can't be served in time. Nothing was done for it.
  struct Refused {
    Call call;
    Duration waited{};
    // When the caller should come back. Differs among calls that are refused
    // together, so that they don't return together.
    Duration retry_after{};
  };
  // What to do in one turn of the event loop.
  struct Turn {
    std::vector<Refused> refused;
    std::optional<Due> next;
  };

  // `slack`: how long the caller has use for the answer, beyond the run of the
  // job's longest task.
  void Push(Call call, Duration slack, Timestamp arrived) {
    // What waited before is not the same queue.
    if (this->calls.empty()) this->behind_since.reset();
    const std::uint64_t number = ++this->last_number;
    const Duration usable = std::max(slack, kNoticeableWait);
    Waiting waiting{std::move(call),
                    arrived,
                    {RefuseFrom(Patience::kUseful, usable, arrived),
                     RefuseFrom(Patience::kShort, usable, arrived)}};
    for (std::size_t i = 0; i < kPatiences; ++i) {
      this->by_end[i].emplace(waiting.refuse_from[i], number);
    }
    this->calls.emplace(number, std::move(waiting));
  }
  // Takes out the calls for one turn. Messages of other processes should be
  // handled between two turns.
  Turn Take(Timestamp now) {
    this->NoteWait(now);
    const bool is_behind = this->behind_since.has_value();
    const Duration behind_by = this->LongestWait(now);
    Turn turn;
    while (turn.refused.size() < kRefusalsPerTurn && this->HasLateCall(now)) {
      const auto late = this->calls.find(this->CurrentEnds().begin()->second);
      turn.refused.push_back(this->Refuse(late, behind_by, now));
    }
    if (this->calls.empty()) return turn;
    const auto next =
        is_behind ? std::prev(this->calls.end()) : this->calls.begin();
    if (this->IsLate(next->second, now)) {
      turn.refused.push_back(this->Refuse(next, behind_by, now));
      return turn;
    }
    const Duration waited = now - next->second.arrived;
    turn.next = Due{this->Remove(next), waited};
    return turn;
  }
  // Takes out all calls for which `matches` is true, the oldest first.
  template <typename Predicate>
  std::vector<Due> TakeMatching(const Predicate& matches, Timestamp now) {
    std::vector<Due> found;
    for (auto it = this->calls.begin(); it != this->calls.end();) {
      const auto current = it++;
      if (!matches(current->second.call)) continue;
      const Duration waited = now - current->second.arrived;
      found.push_back({this->Remove(current), waited});
    }
    return found;
  }

  [[nodiscard]] std::size_t size() const { return this->calls.size(); }
  [[nodiscard]] bool empty() const { return this->calls.empty(); }

 private:
  // How long calls wait before they are refused.
  // kUseful: as long as they can be served in time.
  // kShort: for a part of that time, since the queue lasts.
  enum class Patience { kUseful, kShort };
  static constexpr std::size_t kPatiences = 2;

  // Callers hardly notice a shorter wait.
  static constexpr Duration kNoticeableWait = std::chrono::milliseconds(100);
  // In a queue that lasts no call waits for longer.
  static constexpr Duration kLongestShortWait = std::chrono::milliseconds(500);
  // The times that a job waits for the processors of entries: its submission,
  // its relay, the completion of its tasks and its answer.
  static constexpr int kWaitsPerJob = 4;
  // A queue that is shorter-lived is a burst or follows a pause, and all of it
  // that is of use is worked off.
  static constexpr Duration kLasting = std::chrono::seconds(1);
  // Limits the time until the next call is served.
  static constexpr std::size_t kRefusalsPerTurn = 4;
  static constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(200);
  static constexpr Duration kMostRetryAfter = std::chrono::seconds(1);
  // Refused calls are spread over this many times of return.
  static constexpr std::uint64_t kReturnTimes = 16;

  struct Waiting {
    Call call;
    Timestamp arrived;
    // By patience.
    std::array<Timestamp, kPatiences> refuse_from;
  };
  using Calls = std::map<std::uint64_t, Waiting>;
  using Ends = std::set<std::pair<Timestamp, std::uint64_t>>;

  static Timestamp RefuseFrom(Patience patience, Duration slack,
                              Timestamp arrived) {
    const Timestamp useful_until =
        std::max(DecideBy(arrived + slack, slack, kRefusalLead),
                 arrived + kNoticeableWait);
    if (patience == Patience::kUseful) return useful_until;
    const Duration limit =
        std::clamp(slack / kWaitsPerJob, kNoticeableWait, kLongestShortWait);
    return std::min(useful_until, arrived + limit);
  }
  [[nodiscard]] Duration LongestWait(Timestamp now) const {
    return this->calls.empty() ? Duration()
                               : now - this->calls.begin()->second.arrived;
  }
  // Records whether the calls wait too long, and since when.
  void NoteWait(Timestamp now) {
    const bool is_behind = this->LongestWait(now) > kNoticeableWait;
    if (!is_behind) {
      this->behind_since.reset();
    } else if (!this->behind_since) {
      this->behind_since = now;
    }
    const bool lasts = is_behind && now - *this->behind_since >= kLasting;
    this->patience = lasts ? Patience::kShort : Patience::kUseful;
  }
  [[nodiscard]] const Ends& CurrentEnds() const {
    return this->by_end[static_cast<std::size_t>(this->patience)];
  }
  [[nodiscard]] bool HasLateCall(Timestamp now) const {
    const Ends& ends = this->CurrentEnds();
    return !ends.empty() && ends.begin()->first <= now;
  }
  [[nodiscard]] bool IsLate(const Waiting& waiting, Timestamp now) const {
    return waiting.refuse_from[static_cast<std::size_t>(this->patience)] <= now;
  }
  Call Remove(typename Calls::iterator found) {
    for (std::size_t i = 0; i < kPatiences; ++i) {
      this->by_end[i].erase({found->second.refuse_from[i], found->first});
    }
    Call call = std::move(found->second.call);
    this->calls.erase(found);
    return call;
  }
  Refused Refuse(typename Calls::iterator found, Duration behind_by,
                 Timestamp now) {
    const Duration waited = now - found->second.arrived;
    return {this->Remove(found), waited, this->RetryAfter(behind_by)};
  }
  // Once to twice the time that the entry is behind by.
  Duration RetryAfter(Duration behind_by) {
    const Duration least =
        std::clamp(behind_by, kLeastRetryAfter, kMostRetryAfter);
    const std::uint64_t step = this->refusals++ % kReturnTimes;
    return least + least * step / kReturnTimes;
  }

  // By number, in the order of arrival.
  Calls calls;
  std::array<Ends, kPatiences> by_end;
  std::uint64_t last_number = 0;
  std::optional<Timestamp> behind_since;
  Patience patience = Patience::kUseful;
  std::uint64_t refusals = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CALL_QUEUE_H_
