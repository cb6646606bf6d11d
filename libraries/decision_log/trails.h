#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_TRAILS_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_TRAILS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/telemetry/log.h"

namespace dandelionspur {

// What began before this many others is forgotten, also if it is still open.
inline constexpr std::size_t kMaximumTrails = 4096;
// Most steps kept of one.
inline constexpr std::size_t kMaximumTrailSteps = 64;

// What has happened so far to each thing that is still open, so that the whole
// story can be told if it ends badly, and nothing is written if it ends well.
// `Step` is a variant of log events. Used from one thread.
template <typename Key, typename Step, typename Hash = std::hash<Key>>
class Trails {
 public:
  struct Trail {
    // The job's id as its caller wrote it.
    std::string job;
    Timestamp began;
    std::optional<Timestamp> first_start;
    // After this long the end is late; 0: never.
    Duration objective{};
    // Something had to be done again.
    bool troubled = false;
    std::uint64_t steps_left_out = 0;
    std::vector<std::pair<Timestamp, Step>> steps;
  };

  // The trail of a key, begun now if there is none.
  Trail& Begin(const Key& key, const std::string& job, Timestamp now) {
    const auto [found, is_new] = this->trails.try_emplace(key);
    if (!is_new) return found->second;
    found->second.job = job;
    found->second.began = now;
    this->order.push_back({now, key});
    this->ForgetOldest();
    return this->trails[key];
  }

  [[nodiscard]] Trail* Find(const Key& key) {
    const auto found = this->trails.find(key);
    return found == this->trails.end() ? nullptr : &found->second;
  }

  static void Add(Trail& trail, Step step, Timestamp now) {
    if (trail.steps.size() >= kMaximumTrailSteps) {
      ++trail.steps_left_out;
      return;
    }
    trail.steps.emplace_back(now, std::move(step));
  }

  // The last step; kept however many there are.
  static void AddLast(Trail& trail, Step step, Timestamp now) {
    trail.steps.emplace_back(now, std::move(step));
  }

  // Writes all steps, as far as the budget allows; all or none.
  static void Tell(const Trail& trail, LogCategory log_category,
                   Timestamp now) {
    if (trail.steps.empty()) return;
    const std::string_view kind = std::visit(
        [](const auto& step) { return std::string_view(step.kName); },
        trail.steps.back().second);
    if (!AdmitLines(log_category, kind, trail.steps.size(), now)) return;
    std::string lines;
    for (const auto& [at, step] : trail.steps) {
      std::visit(
          [&, time = at](const auto& event) {
            lines += LogLine(LogProgram(), event, time);
          },
          step);
    }
    AppendLines(lines, trail.steps.size());
  }

  void Forget(const Key& key) { this->trails.erase(key); }

 private:
  void ForgetOldest() {
    // Those that have ended are still in the order.
    while (this->order.size() > kMaximumTrails) {
      const auto [began, key] = this->order.front();
      this->order.pop_front();
      const auto found = this->trails.find(key);
      const bool is_this_one =
          found != this->trails.end() && found->second.began == began;
      if (is_this_one) this->trails.erase(found);
    }
  }

  std::unordered_map<Key, Trail, Hash> trails;
  std::deque<std::pair<Timestamp, Key>> order;
};

// Whether the log follows this job although nothing is wrong with it: the same
// ones in every process.
[[nodiscard]] inline bool IsFollowed(std::uint64_t key_digest,
                                     std::uint32_t per_thousand) {
  constexpr std::uint64_t kThousand = 1000;
  return key_digest % kThousand < per_thousand;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_TRAILS_H_
