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

// Several threads that each run their own io_context, so that state used on
// only one context needs no lock. Every thread is registered as an RCU reader
// and may read an RcuValue<T>.
class ThreadGroup {
 public:
  explicit ThreadGroup(std::size_t thread_count);
  ThreadGroup(const ThreadGroup&) = delete;
  ThreadGroup& operator=(const ThreadGroup&) = delete;
  ~ThreadGroup();

  // Returns the contexts round-robin.
  boost::asio::io_context& Next();
  boost::asio::io_context& First() { return *this->contexts.front(); }
  // Stops the contexts and joins all threads. Queued handlers are not run.
  void Stop();

 private:
  using Guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
  std::vector<Guard> guards;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> next_index{0};
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_THREAD_GROUP_H_
