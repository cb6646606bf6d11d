#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_ANSWER_WATCH_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_ANSWER_WATCH_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "libraries/base/time.h"

namespace dandelionspur {

// What is known of the silence of a connection's other end.
struct LinkSilence {
  // Since the last byte from the other end.
  Duration last_heard_age{};
  // Passed to the connection since then.
  std::size_t unanswered_bytes = 0;
};

// Follows when a connection sends and receives, to tell whether the other end
// leaves it without an answer. Only time after bytes have been sent counts, so
// a connection on which nothing is sent is never silent.
class AnswerWatch {
 public:
  using Clock = std::chrono::steady_clock;

  explicit AnswerWatch(Clock::time_point now)
      : last_sent(now), last_received(now) {}

  void NoteSent(std::size_t bytes, Clock::time_point now) {
    this->last_sent = now;
    this->unanswered_bytes += bytes;
    if (!this->unanswered_since) this->unanswered_since = now;
  }
  void NoteReceived(Clock::time_point now) {
    this->last_received = now;
    this->unanswered_bytes = 0;
    this->unanswered_since.reset();
  }

  // Whether bytes sent longer than `limit` ago have had no answer.
  [[nodiscard]] bool IsOverdue(Duration limit, Clock::time_point now) const {
    return this->unanswered_since && now - *this->unanswered_since > limit;
  }
  [[nodiscard]] Clock::duration SinceSent(Clock::time_point now) const {
    return now - this->last_sent;
  }
  [[nodiscard]] LinkSilence Silence(Clock::time_point now) const {
    return {std::chrono::duration_cast<Duration>(now - this->last_received),
            this->unanswered_bytes};
  }

 private:
  Clock::time_point last_sent;
  Clock::time_point last_received;
  // When the first byte was sent after the last one was received.
  std::optional<Clock::time_point> unanswered_since;
  std::size_t unanswered_bytes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_ANSWER_WATCH_H_
