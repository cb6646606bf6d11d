#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_LINK_PACER_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_LINK_PACER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>

namespace dandelionspur {

// Limits the rate of large messages over all connections of a process to a
// share of the instance's link, in order. Heartbeats, lease renewals and
// answers are sent past it, so they never wait behind job bodies in the link's
// queue, which would suspend leases. Not thread-safe: all calls are made on one
// io_context.
class LinkPacer {
 public:
  // The rate for large messages on a link of this capacity, in bytes a second.
  // The rest is left to other messages and to the protocols below.
  [[nodiscard]] static std::uint64_t RateFor(std::uint64_t link_capacity) {
    return link_capacity / 4 * 3;
  }
  // `rate` is in bytes a second.
  LinkPacer(boost::asio::io_context& thread, std::uint64_t rate);
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  // Calls `send` once `bytes` may be sent: at once, unless earlier messages
  // wait or have used the rate.
  void Send(std::size_t bytes, std::function<void()> send);
  // Bytes of the messages that wait.
  [[nodiscard]] std::uint64_t backlog() const { return this->waiting_bytes; }
  // The time that the messages that wait now take.
  [[nodiscard]] std::chrono::microseconds Delay() const;

 private:
  using Clock = std::chrono::steady_clock;
  struct Waiting {
    std::size_t bytes;
    std::function<void()> send;
  };

  void Refill();
  void SendWaiting();
  void ScheduleRefill();

  boost::asio::steady_timer timer;
  std::int64_t bytes_per_second;
  // May be negative by the size of one message, so that a message that is
  // larger than the burst is sent at all.
  std::int64_t available;
  Clock::time_point refilled;
  std::deque<Waiting> waiting;
  std::uint64_t waiting_bytes = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_LINK_PACER_H_
