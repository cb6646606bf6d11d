#include "services/entry/load_guard.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// A new job whose relay or starts would wait longer for the link is refused.
constexpr Duration kMaximumSendDelay = std::chrono::milliseconds(300);
// The rest is for jobs that were taken in before, whose answers are still to be
// received and sent, and for what the allocator and the threads need.
constexpr std::uint64_t kBudgetPercent = 60;
constexpr std::uint64_t kPercent = 100;
// Bounds for the estimated time until memory is free again.
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaximumRetryAfter = std::chrono::seconds(2);

}  // namespace

LoadGuard::LoadGuard(std::uint64_t memory_limit)
    : memory_budget(memory_limit / kPercent * kBudgetPercent) {}

void LoadGuard::NoteMemory(std::uint64_t bytes, SteadyTime now) {
  const std::chrono::duration<double> elapsed = now - this->noted_at;
  const bool is_freed = this->noted_at != SteadyTime() &&
                        bytes < this->memory_in_use && elapsed.count() > 0;
  if (is_freed) {
    this->freeing_rate =
        static_cast<double>(this->memory_in_use - bytes) / elapsed.count();
  }
  this->memory_in_use = bytes;
  this->noted_at = now;
}

std::optional<Overload> LoadGuard::Check(Duration send_delay) const {
  const bool memory_is_scarce =
      this->memory_budget > 0 && this->memory_in_use > this->memory_budget;
  if (memory_is_scarce) {
    return Overload{
        ScarceResource::kMemory,
        this->TimeToFree(this->memory_in_use - this->memory_budget)};
  }
  if (send_delay > kMaximumSendDelay) {
    return Overload{ScarceResource::kLink, send_delay};
  }
  return std::nullopt;
}

Duration LoadGuard::TimeToFree(std::uint64_t excess) const {
  if (this->freeing_rate <= 0) return kMaximumRetryAfter;
  const std::chrono::duration<double> time(static_cast<double>(excess) /
                                           this->freeing_rate);
  if (time > kMaximumRetryAfter) return kMaximumRetryAfter;
  return std::max(kMinimumRetryAfter,
                  std::chrono::duration_cast<Duration>(time));
}

}  // namespace dandelionspur
