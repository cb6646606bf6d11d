#ifndef DANDELIONSPUR_SERVICES_ENTRY_LARGE_REQUEST_GATE_H_
#define DANDELIONSPUR_SERVICES_ENTRY_LARGE_REQUEST_GATE_H_

#include <cstddef>
#include <cstdint>

#include "services/entry/allocated_bytes.h"
#include "services/entry/load_guard.h"

namespace dandelionspur {

// Decides whether a request with a large body may be read. Reading one takes
// memory before the job gets to the core, whose LoadGuard looks at the memory
// from time to time only. Safe from any thread.
class LargeRequestGate {
 public:
  // `memory_limit`: the process is killed above this many bytes; 0: there is no
  // limit.
  explicit LargeRequestGate(std::uint64_t memory_limit)
      : budget(LoadGuard::BudgetOf(memory_limit)) {}

  // `body_bytes`: the size of the request's body, which has arrived.
  [[nodiscard]] bool Admits(std::size_t body_bytes) const {
    // Looking at the memory costs more than reading a smaller one.
    constexpr std::size_t kLargeBodyBytes = 65'536;
    if (this->budget == 0 || body_bytes < kLargeBodyBytes) return true;
    return AllocatedBytes() <= this->budget;
  }

 private:
  std::uint64_t budget;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_LARGE_REQUEST_GATE_H_
