#ifndef DANDELIONSPUR_SERVICES_ENTRY_LOAD_GUARD_H_
#define DANDELIONSPUR_SERVICES_ENTRY_LOAD_GUARD_H_

#include <boost/describe.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "libraries/base/time.h"

namespace dandelionspur {

// The resource of the instance that has no room for a further job.
BOOST_DEFINE_ENUM_CLASS(ScarceResource, kLink, kMemory)

// Why an entry takes in no new jobs, and when a caller should come back.
struct Overload {
  ScarceResource resource = ScarceResource::kLink;
  Duration retry_after{};
};

// Decides whether an entry may take in a new job, by the messages that wait for
// the instance's link and by the memory that the process holds. An entry that
// took in more than it can hold would be killed, and all its callers with it
// would get no answer. Jobs that were taken in before go on.
class LoadGuard {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `memory_limit`: the process is killed above this many bytes; 0: there is no
  // limit.
  explicit LoadGuard(std::uint64_t memory_limit);

  // Records the bytes that the process has allocated and not freed. Call it
  // periodically.
  void NoteMemory(std::uint64_t bytes, SteadyTime now);
  // Why no new job may be taken in, or nothing. `send_delay` is the time that
  // the messages take that wait for the link.
  [[nodiscard]] std::optional<Overload> Check(Duration send_delay) const;

 private:
  [[nodiscard]] Duration TimeToFree(std::uint64_t excess) const;

  std::uint64_t memory_budget;
  std::uint64_t memory_in_use = 0;
  SteadyTime noted_at;
  // In bytes a second, when memory was last freed faster than it was allocated;
  // 0 if it never was.
  double freeing_rate = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_LOAD_GUARD_H_
