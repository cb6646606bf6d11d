#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_CACHE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_CACHE_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "libraries/protocol/job.h"

namespace dandelionspur {

struct CachedAnswer {
  // Digest of the job's body, to detect another job under the same key.
  std::uint64_t body_digest = 0;
  JobAnswer answer;
};

// The final answers of recent jobs, for callers that submit a job again.
// Limited to `byte_limit` bytes and to the duplicate window; the oldest answers
// are evicted first.
class AnswerCache {
 public:
  AnswerCache(std::uint64_t byte_limit, Duration window)
      : maximum_bytes(byte_limit), duplicate_window(window) {}

  void Insert(const JobKey& key, const CachedAnswer& answer, Timestamp now) {
    const auto [position, inserted] = this->answers.emplace(key, answer);
    if (!inserted) return;
    this->order.push_back({key, now});
    this->bytes += SizeOf(answer.answer);
    while (this->bytes > this->maximum_bytes) this->EvictOldest();
  }
  [[nodiscard]] const CachedAnswer* Find(const JobKey& key) const {
    const auto found = this->answers.find(key);
    return found == this->answers.end() ? nullptr : &found->second;
  }
  [[nodiscard]] std::uint64_t held_bytes() const { return this->bytes; }
  void Expire(Timestamp now) {
    while (!this->order.empty() &&
           this->order.front().inserted_at + this->duplicate_window < now) {
      this->EvictOldest();
    }
  }

 private:
  struct Insertion {
    JobKey key;
    Timestamp inserted_at;
  };

  // Approximate memory use of an answer without results.
  static constexpr std::uint64_t kOverheadBytes = 160;

  static std::uint64_t SizeOf(const JobAnswer& answer) {
    std::uint64_t size = kOverheadBytes;
    for (const Payload& result : answer.results) {
      size += result.size() + sizeof(Payload);
    }
    return size;
  }
  void EvictOldest() {
    const auto found = this->answers.find(this->order.front().key);
    this->order.pop_front();
    this->bytes -= SizeOf(found->second.answer);
    this->answers.erase(found);
  }

  std::uint64_t maximum_bytes;
  Duration duplicate_window;
  std::unordered_map<JobKey, CachedAnswer> answers;
  std::deque<Insertion> order;
  std::uint64_t bytes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_ANSWER_CACHE_H_
