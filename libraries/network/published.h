#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_PUBLISHED_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_PUBLISHED_H_

#include <urcu.h>

#include <atomic>
#include <memory>
#include <utility>

namespace dandelionspur {

// Registers the current thread as a reader of published values, for as long
// as this lives.
class ReaderThread {
 public:
  ReaderThread() { rcu_register_thread(); }
  ReaderThread(const ReaderThread&) = delete;
  ReaderThread& operator=(const ReaderThread&) = delete;
  ~ReaderThread() { rcu_unregister_thread(); }
};

// An immutable value that all threads read without a lock and one thread
// replaces now and then (read-copy-update).
template <typename T>
class Published {
 public:
  Published() : current(new T()) {}
  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;
  ~Published() { delete this->current.load(); }

  // Calls `reader` with the value of now. Registered threads only; `reader`
  // must not block.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const Section section;
    return std::forward<Reader>(reader)(
        *this->current.load(std::memory_order_acquire));
  }

  // Replaces the value; waits until no reader sees the old one.
  void Publish(T value) {
    auto fresh = std::make_unique<T>(std::move(value));
    const std::unique_ptr<T> old(
        this->current.exchange(fresh.release(), std::memory_order_acq_rel));
    synchronize_rcu();
  }

 private:
  class Section {
   public:
    Section() { rcu_read_lock(); }
    Section(const Section&) = delete;
    Section& operator=(const Section&) = delete;
    ~Section() { rcu_read_unlock(); }
  };

  std::atomic<T*> current;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_PUBLISHED_H_
