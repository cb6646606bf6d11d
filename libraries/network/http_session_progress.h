#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_PROGRESS_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_PROGRESS_H_

#include <atomic>
#include <chrono>
#include <cstddef>

namespace dandelionspur {

// What a connection waits for.
// kIdle: the first byte of a request. kReading: the rest of it.
// kHandling: the handler's answer. kWriting: the caller to take the answer.
// kLingering: the caller to close, after a refusal. kEnding: nothing; its end
// has begun.
enum class HttpSessionPhase {
  kIdle,
  kReading,
  kHandling,
  kWriting,
  kLingering,
  kEnding,
};

// How far a connection is, written by its thread and read by the listener.
class HttpSessionProgress {
 public:
  using Clock = std::chrono::steady_clock;

  void Enter(HttpSessionPhase entered) {
    this->since = Clock::now().time_since_epoch().count();
    this->current = entered;
  }
  [[nodiscard]] HttpSessionPhase phase() const { return this->current; }
  // How long the phase has lasted. May be off when the phase changes meanwhile.
  [[nodiscard]] Clock::duration Age(Clock::time_point now) const {
    return now.time_since_epoch() - Clock::duration(this->since);
  }

  // Whether the listener has asked for the connection's end and that is not
  // decided yet.
  std::atomic<bool> end_requested = false;
  // The bytes that the connection counts in HttpServerState::held.
  std::atomic<std::size_t> held = 0;

 private:
  std::atomic<HttpSessionPhase> current = HttpSessionPhase::kIdle;
  std::atomic<Clock::rep> since = Clock::now().time_since_epoch().count();
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_PROGRESS_H_
