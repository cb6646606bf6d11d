#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_THREAD_GROUP_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_THREAD_GROUP_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace dandelionspur {

// Several threads, each with an io_context of its own, so that whatever stays
// on one context needs no lock. Every thread may read what is published by
// Published<T>.
class ThreadGroup {
 public:
  explicit ThreadGroup(std::size_t threads);
  ThreadGroup(const ThreadGroup&) = delete;
  ThreadGroup& operator=(const ThreadGroup&) = delete;
  ~ThreadGroup();

  // The contexts in turn.
  boost::asio::io_context& Next();
  boost::asio::io_context& First() { return *this->contexts.front(); }
  // Ends all threads; what is queued is dropped.
  void Stop();

 private:
  using Guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
  std::vector<Guard> guards;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> turn{0};
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_THREAD_GROUP_H_
