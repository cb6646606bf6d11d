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
// The times that a job waits for the processors of entries: its submission, its
// relay, the completion of its tasks and its answer.
constexpr int kWaitsPerJob = 4;
// A shorter delay refuses no job: callers hardly notice it.
constexpr Duration kNoticeableDelay = std::chrono::milliseconds(100);
// A longer delay refuses every job: heartbeats are late by it, and beyond it
// the other entries soon take this one for lost.
constexpr Duration kMaximumDelay = std::chrono::milliseconds(500);
// Bounds for the estimated time until there is room again.
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaximumRetryAfter = std::chrono::seconds(2);

Duration RetryAfter(Duration estimate) {
  return std::clamp(estimate, kMinimumRetryAfter, kMaximumRetryAfter);
}

}  // namespace

LoadGuard::LoadGuard(std::uint64_t memory_limit)
    : memory_budget(BudgetOf(memory_limit)) {}

std::uint64_t LoadGuard::BudgetOf(std::uint64_t memory_limit) {
  return memory_limit / kPercent * kBudgetPercent;
}

void LoadGuard::NoteMemory(std::uint64_t bytes, SteadyTime now) {
  this->memory_in_use = bytes;
  this->memory_admitted = 0;
  this->memory_drain.Note(static_cast<double>(bytes), now);
}

void LoadGuard::NoteAdmitted(std::uint64_t bytes) {
  // The job itself, and its relay while it waits for the link.
  constexpr std::uint64_t kCopies = 2;
  this->memory_admitted += kCopies * bytes;
}

void LoadGuard::NoteDelay(Duration interval_delay, SteadyTime now) {
  this->delay.Note(interval_delay, now);
  this->delay_drain.Note(static_cast<double>(this->delay.value().count()), now);
}

std::optional<Overload> LoadGuard::Check(const AdmissionRequest& job) const {
  const std::optional<Overload> memory_is_scarce = this->CheckMemory();
  if (memory_is_scarce) return memory_is_scarce;
  if (job.send_delay > kMaximumSendDelay) {
    return Overload{ScarceResource::kLink, job.send_delay};
  }
  return this->CheckDelay(job.slack);
}

bool LoadGuard::IsBehind() const {
  return this->delay.value() > kNoticeableDelay;
}

std::optional<Overload> LoadGuard::CheckMemory() const {
  const bool has_room =
      this->memory_budget == 0 ||
      this->memory_in_use + this->memory_admitted <= this->memory_budget;
  if (has_room) return std::nullopt;
  const auto target = static_cast<double>(this->memory_budget);
  return Overload{ScarceResource::kMemory,
                  RetryAfter(this->memory_drain.TimeUntil(target).value_or(
                      kMaximumRetryAfter))};
}

std::optional<Overload> LoadGuard::CheckDelay(Duration slack) const {
  const Duration limit =
      std::clamp(slack / kWaitsPerJob, kNoticeableDelay, kMaximumDelay);
  const Duration current = this->delay.value();
  if (current <= limit) return std::nullopt;
  const auto target = static_cast<double>(limit.count());
  // Without new jobs, work that waits for `current` is done after that time.
  return Overload{
      ScarceResource::kDelay,
      RetryAfter(this->delay_drain.TimeUntil(target).value_or(current))};
}

}  // namespace dandelionspur
