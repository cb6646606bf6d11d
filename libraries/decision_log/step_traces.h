#ifndef DANDELIONSPUR_LIBRARIES_DECISION_LOG_STEP_TRACES_H_
#define DANDELIONSPUR_LIBRARIES_DECISION_LOG_STEP_TRACES_H_

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

// The most traces that are kept. Further ones evict the oldest, even if it is
// still open.
inline constexpr std::size_t kMaximumTraces = 4096;
// The most steps that are kept of one trace, not counting the final one.
inline constexpr std::size_t kMaximumTraceSteps = 64;

// Buffers the log events of each open job or task. The caller can then write
// all of them if it fails, and none if it succeeds. `Step` is a variant of log
// events. Not thread-safe.
template <typename Key, typename Step, typename Hash = std::hash<Key>>
class StepTraces {
 public:
  struct Trace {
    // The job's id as its caller wrote it.
    std::string job;
    Timestamp began;
    std::optional<Timestamp> first_start;
    // The latency objective, counted from `began`; 0 if there is none.
    Duration objective{};
    // Whether any task of the job has been retried.
    bool retried = false;
    // Whether the job has a task that a former home started.
    bool taken_over = false;
    std::uint64_t steps_left_out = 0;
    std::vector<std::pair<Timestamp, Step>> steps;
  };

  // Returns the trace of a key; starts one at `now` if there is none.
  Trace& FindOrStart(const Key& key, const std::string& job, Timestamp now) {
    const auto [found, is_new] = this->traces.try_emplace(key);
    if (!is_new) return found->second;
    found->second.job = job;
    found->second.began = now;
    this->order.push_back({now, key});
    this->RemoveOldest();
    return this->traces[key];
  }

  [[nodiscard]] Trace* Find(const Key& key) {
    const auto found = this->traces.find(key);
    return found == this->traces.end() ? nullptr : &found->second;
  }

  static void Add(Trace& trace, Step step, Timestamp now) {
    if (trace.steps.size() >= kMaximumTraceSteps) {
      ++trace.steps_left_out;
      return;
    }
    trace.steps.emplace_back(now, std::move(step));
  }

  // Adds the final step, which may exceed the limit on steps.
  static void AddFinal(Trace& trace, Step step, Timestamp now) {
    trace.steps.emplace_back(now, std::move(step));
  }

  // Writes the lines of all steps if the line budget admits all of them, and
  // none otherwise.
  static void WriteLines(const Trace& trace, LogCategory log_category,
                         Timestamp now) {
    if (trace.steps.empty()) return;
    const std::string_view kind = std::visit(
        [](const auto& step) { return std::string_view(step.kName); },
        trace.steps.back().second);
    if (!AdmitLines(log_category, kind, trace.steps.size(), now)) return;
    std::string lines;
    for (const auto& [at, step] : trace.steps) {
      std::visit(
          [&, time = at](const auto& event) {
            lines += LogLine(LogProgram(), event, time);
          },
          step);
    }
    AppendLines(lines, trace.steps.size());
  }

  void Remove(const Key& key) { this->traces.erase(key); }

 private:
  void RemoveOldest() {
    // `order` also holds traces that have been removed, and possibly started
    // again, since.
    while (this->order.size() > kMaximumTraces) {
      const auto [began, key] = this->order.front();
      this->order.pop_front();
      const auto found = this->traces.find(key);
      const bool is_this_one =
          found != this->traces.end() && found->second.began == began;
      if (is_this_one) this->traces.erase(found);
    }
  }

  std::unordered_map<Key, Trace, Hash> traces;
  std::deque<std::pair<Timestamp, Key>> order;
};

// Whether a successful job is logged as well, being in the share of
// `per_thousand` jobs. Depends on the key only, so that every process logs the
// same jobs.
[[nodiscard]] inline bool IsTraced(std::uint64_t key_digest,
                                   std::uint32_t per_thousand) {
  constexpr std::uint64_t kThousand = 1000;
  return key_digest % kThousand < per_thousand;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_DECISION_LOG_STEP_TRACES_H_
