#include "tests/support/allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocations{0};

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace dandelionspur {

std::size_t AllocationCount() { return allocations; }

}  // namespace dandelionspur
