#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMORY_USE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMORY_USE_H_

#include <boost/describe.hpp>
#include <cstdint>

namespace dandelionspur {

// The bytes that an entry core holds, approximately, by what they belong to.
struct MemoryUse {
  // Jobs of which this entry is the home.
  std::uint64_t jobs_at_home = 0;
  // Submissions of this entry's callers whose home is another entry.
  std::uint64_t relayed_jobs = 0;
  // Relays of other entries that wait until this entry is the home.
  std::uint64_t parked_relays = 0;
  // Answers kept for callers that submit a job again.
  std::uint64_t kept_answers = 0;
};
BOOST_DESCRIBE_STRUCT(MemoryUse, (),
                      (jobs_at_home, relayed_jobs, parked_relays, kept_answers))

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MEMORY_USE_H_
