#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CONTENTION_URGENT_RESERVE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CONTENTION_URGENT_RESERVE_H_

#include <cstdint>
#include <map>

#include "libraries/base/resources.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// The part of each upstream that is kept free of tasks of lower priority while
// tasks of higher priority come: room for one usual task. Those find room at
// once even when all others wait, and no upstream has more than that room idle.
class UrgentReserve {
 public:
  // A job of this priority was submitted, whose tasks have this need each. 0 is
  // the highest priority.
  void Observe(std::uint32_t priority, const Resources& need, Timestamp now);
  // What a task of this priority must leave free at an upstream; nothing if no
  // job of higher priority has come lately.
  [[nodiscard]] Resources For(std::uint32_t priority, Timestamp now) const;

 private:
  struct Demand {
    Resources usual_need;
    Timestamp latest;
  };

  std::map<std::uint32_t, Demand> priorities;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CONTENTION_URGENT_RESERVE_H_
