#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEPT_ANSWERS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEPT_ANSWERS_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "libraries/protocol/job.h"

namespace dandelionspur {

struct CachedAnswer {
  std::uint64_t body_digest = 0;
  JobAnswer answer;
};

// The final answers of recent jobs, for callers that submit again. Bounded in
// bytes and by the duplicate window, oldest dropped first.
class AnswerCache {
 public:
  AnswerCache(std::uint64_t byte_limit, Duration window)
      : maximum_bytes(byte_limit), duplicate_window(window) {}

  void Keep(const JobKey& key, const CachedAnswer& answer, Timestamp now) {
    const auto [position, inserted] = this->answers.emplace(key, answer);
    if (!inserted) return;
    this->order.push_back({key, now});
    this->bytes += SizeOf(answer.answer);
    while (this->bytes > this->maximum_bytes) this->DropOldest();
  }
  [[nodiscard]] const CachedAnswer* Find(const JobKey& key) const {
    const auto found = this->answers.find(key);
    return found == this->answers.end() ? nullptr : &found->second;
  }
  void Expire(Timestamp now) {
    while (!this->order.empty() &&
           this->order.front().since + this->duplicate_window < now) {
      this->DropOldest();
    }
  }

 private:
  struct Remembered {
    JobKey key;
    Timestamp since;
  };

  // Memory of an answer without results.
  static constexpr std::uint64_t kOverheadBytes = 160;

  static std::uint64_t SizeOf(const JobAnswer& answer) {
    std::uint64_t size = kOverheadBytes;
    for (const Payload& result : answer.results) {
      size += result.size() + sizeof(Payload);
    }
    return size;
  }
  void DropOldest() {
    const auto found = this->answers.find(this->order.front().key);
    this->order.pop_front();
    this->bytes -= SizeOf(found->second.answer);
    this->answers.erase(found);
  }

  std::uint64_t maximum_bytes;
  Duration duplicate_window;
  std::unordered_map<JobKey, CachedAnswer> answers;
  std::deque<Remembered> order;
  std::uint64_t bytes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEPT_ANSWERS_H_
