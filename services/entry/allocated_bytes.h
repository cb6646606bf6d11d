#ifndef DANDELIONSPUR_SERVICES_ENTRY_ALLOCATED_BYTES_H_
#define DANDELIONSPUR_SERVICES_ENTRY_ALLOCATED_BYTES_H_

#include <malloc.h>

#include <cstdint>

namespace dandelionspur {

// The bytes that this process has allocated and not freed. Memory that the
// allocator keeps for later is left out, since it can be used again.
inline std::uint64_t AllocatedBytes() {
  const struct mallinfo2 usage = mallinfo2();
  return usage.uordblks + usage.hblkhd;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_ALLOCATED_BYTES_H_
