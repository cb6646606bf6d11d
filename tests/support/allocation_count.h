#ifndef DANDELIONSPUR_TESTS_SUPPORT_ALLOCATION_COUNT_H_
#define DANDELIONSPUR_TESTS_SUPPORT_ALLOCATION_COUNT_H_

#include <cstddef>

namespace dandelionspur {

// How often this test program has allocated memory with operator new so far,
// on all threads. Replaces the program's operator new.
std::size_t AllocationCount();

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_ALLOCATION_COUNT_H_
