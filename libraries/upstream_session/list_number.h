#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LIST_NUMBER_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LIST_NUMBER_H_

#include <cstdint>

#include "libraries/base/strong_type.h"

namespace dandelionspur {

// Numbers the list requests of a session.
using ListNumber = StrongType<std::uint64_t, struct ListNumberTag>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LIST_NUMBER_H_
