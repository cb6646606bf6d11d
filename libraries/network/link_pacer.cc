#include "libraries/network/link_pacer.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

constexpr std::chrono::milliseconds kRefillInterval{5};
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
// The link may be used without a pause for this long.
constexpr std::int64_t kBurstMicroseconds = 40'000;

std::int64_t BurstOf(std::int64_t bytes_per_second) {
  return bytes_per_second * kBurstMicroseconds / kMicrosecondsPerSecond;
}

}  // namespace

LinkPacer::LinkPacer(boost::asio::io_context& thread, std::uint64_t rate)
    : timer(thread),
      bytes_per_second(
          std::max<std::int64_t>(1, static_cast<std::int64_t>(rate))),
      available(BurstOf(this->bytes_per_second)),
      refilled(Clock::now()) {}

void LinkPacer::Send(std::size_t bytes, std::function<void()> send) {
  this->waiting_bytes += bytes;
  this->waiting.push_back({bytes, std::move(send)});
  if (this->waiting.size() > 1) return;
  this->SendWaiting();
}

std::chrono::microseconds LinkPacer::Delay() const {
  const auto bytes = static_cast<std::int64_t>(this->waiting_bytes);
  return std::chrono::microseconds(bytes * kMicrosecondsPerSecond /
                                   this->bytes_per_second);
}

void LinkPacer::Refill() {
  const Clock::time_point now = Clock::now();
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      now - this->refilled);
  this->refilled = now;
  // Longer pauses fill the burst in any case.
  const std::int64_t counted =
      std::min<std::int64_t>(elapsed.count(), kMicrosecondsPerSecond);
  this->available =
      std::min(BurstOf(this->bytes_per_second),
               this->available +
                   this->bytes_per_second * counted / kMicrosecondsPerSecond);
}

void LinkPacer::SendWaiting() {
  this->Refill();
  while (!this->waiting.empty() && this->available > 0) {
    const Waiting next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->waiting_bytes -= next.bytes;
    this->available -= static_cast<std::int64_t>(next.bytes);
    next.send();
  }
  if (!this->waiting.empty()) this->ScheduleRefill();
}

void LinkPacer::ScheduleRefill() {
  this->timer.expires_after(kRefillInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) this->SendWaiting();
  });
}

}  // namespace dandelionspur
