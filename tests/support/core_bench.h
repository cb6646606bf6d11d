#ifndef DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_
#define DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// One entry core with agents that are ready, for benchmarks and tests:
// everything that other processes would answer is answered at once.
class CoreBench {
 public:
  explicit CoreBench(std::uint32_t agents, std::uint32_t slots = 8);

  // The other entry of the view.
  static EntryId Other();
  // A job of the service, as the other entry relays it.
  static Relay RelayOf(std::uint64_t number, std::uint32_t tasks);

  // Submits a job, as relayed by the other entry, and runs it to its answer.
  // Returns the number of tasks started.
  std::uint32_t RunJob(std::uint64_t number, std::uint32_t tasks);
  // Handles one event; the effects that matter are kept for the next call.
  std::vector<EntryEffect> Handle(const EntryEvent& event);

  EntryCore& core() { return this->entry; }

 private:
  EntryCore entry;
  std::uint32_t slots_each;
  // Starts that each agent has seen.
  std::map<AgentId, std::uint64_t> seen;
  Timestamp now;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_
