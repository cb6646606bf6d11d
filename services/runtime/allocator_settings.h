#ifndef DANDELIONSPUR_SERVICES_RUNTIME_ALLOCATOR_SETTINGS_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_ALLOCATOR_SETTINGS_H_

#include <malloc.h>

namespace dandelionspur {

// Has the allocator take each large block from the system and give it back when
// it's freed. By default it stops doing so after the first one, and large
// bodies then leave holes in the heap, which count as memory of the process.
// Call it before the first thread starts.
inline void ReturnLargeBlocksToSystem() {
  constexpr int kLargeBlockBytes = 262'144;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_ALLOCATOR_SETTINGS_H_
