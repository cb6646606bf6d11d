#include "libraries/network/thread_group.h"

#include "libraries/network/rcu_value.h"

namespace dandelionspur {

ThreadGroup::ThreadGroup(std::size_t thread_count) {
  for (std::size_t i = 0; i < thread_count; ++i) {
    this->contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    this->guards.emplace_back(this->contexts.back()->get_executor());
  }
  for (const auto& context : this->contexts) {
    this->threads.emplace_back([target = context.get()] {
      const RcuReaderRegistration reader;
      target->run();
    });
  }
}

ThreadGroup::~ThreadGroup() { this->Stop(); }

boost::asio::io_context& ThreadGroup::Next() {
  const std::size_t index =
      this->next_index.fetch_add(1, std::memory_order_relaxed);
  return *this->contexts[index % this->contexts.size()];
}

void ThreadGroup::Stop() {
  for (const auto& context : this->contexts) context->stop();
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace dandelionspur
