#ifndef DANDELIONSPUR_TESTS_SUPPORT_ALLOCATION_COUNT_H_
#define DANDELIONSPUR_TESTS_SUPPORT_ALLOCATION_COUNT_H_

#include <cstddef>

namespace dandelionspur {

// Returns how often the test program has allocated memory with operator new, on
// all threads. Linking this file replaces the program's operator new.
std::size_t AllocationCount();

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_ALLOCATION_COUNT_H_
