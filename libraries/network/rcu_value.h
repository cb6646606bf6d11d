#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_RCU_VALUE_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_RCU_VALUE_H_

#include <urcu.h>

#include <atomic>
#include <memory>
#include <utility>

namespace dandelionspur {

// Registers the current thread as an RCU reader for the lifetime of the object.
class RcuReaderRegistration {
 public:
  RcuReaderRegistration() { rcu_register_thread(); }
  RcuReaderRegistration(const RcuReaderRegistration&) = delete;
  RcuReaderRegistration& operator=(const RcuReaderRegistration&) = delete;
  ~RcuReaderRegistration() { rcu_unregister_thread(); }
};

// An immutable value that registered threads read without a lock and that one
// thread replaces occasionally (read-copy-update).
template <typename T>
class RcuValue {
 public:
  RcuValue() : current(new T()) {}
  RcuValue(const RcuValue&) = delete;
  RcuValue& operator=(const RcuValue&) = delete;
  ~RcuValue() { delete this->current.load(); }

  // Calls `reader` with the current value, within an RCU read-side critical
  // section. The calling thread must hold an RcuReaderRegistration, and
  // `reader` must not block.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const ReadSection read_section;
    return std::forward<Reader>(reader)(
        *this->current.load(std::memory_order_acquire));
  }

  // Replaces the value; blocks until no reader uses the old one.
  void Publish(T value) {
    auto replacement = std::make_unique<T>(std::move(value));
    const std::unique_ptr<T> old(this->current.exchange(
        replacement.release(), std::memory_order_acq_rel));
    synchronize_rcu();
  }

 private:
  class ReadSection {
   public:
    ReadSection() { rcu_read_lock(); }
    ReadSection(const ReadSection&) = delete;
    ReadSection& operator=(const ReadSection&) = delete;
    ~ReadSection() { rcu_read_unlock(); }
  };

  std::atomic<T*> current;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_RCU_VALUE_H_
