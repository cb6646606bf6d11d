#ifndef DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_
#define DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// What surrounds the entry of a CoreBench.
struct CoreBenchShape {
  std::uint32_t agents = 1;
  // Room of each agent's upstream, in tasks.
  std::uint32_t slots = 8;
  // Other entries that live; one more is dead.
  std::uint32_t living_peers = 0;
  std::uint32_t buckets = 128;
};

// One entry core with agents that are ready, for benchmarks and tests:
// everything that other processes would answer is answered at once.
class CoreBench {
 public:
  explicit CoreBench(const CoreBenchShape& surroundings);

  // The other entry of the view.
  static EntryId Other();
  // A job of the service, as the other entry relays it.
  static Relay RelayOf(std::uint64_t number, std::uint32_t tasks);

  // Submits a job, as relayed by the other entry, and runs it to its answer.
  // Returns the number of tasks started.
  std::uint32_t RunJob(std::uint64_t number, std::uint32_t tasks);
  // Submits a job, as relayed by the other entry, of which no task ends.
  void BeginJob(std::uint64_t number, std::uint32_t tasks);
  // Handles one event; the effects that matter are kept for the next call.
  std::vector<EntryEffect> Handle(const EntryEvent& event);

  // Lets time pass in ticks.
  void Pass(Duration time);
  // A heartbeat of an agent, the same each time but for the clock.
  std::vector<EntryEffect> HearAgent(std::uint32_t number);
  // The same of an agent whose upstream has no room left.
  std::vector<EntryEffect> HearFullAgent(std::uint32_t number);
  // A heartbeat of a living peer.
  std::vector<EntryEffect> HearPeer(std::uint32_t number);

  // One of each living peer.
  void HearPeers();

  EntryCore& core() { return this->entry; }

 private:
  std::vector<EntryEffect> HearLoad(std::uint32_t number,
                                    const AgentLoad& load);
  // Hands the answers to all requests for promises to the core.
  void GrantPromises(const std::vector<EntryEffect>& effects);

  CoreBenchShape shape;
  EntryCore entry;
  // Starts that each agent has seen.
  std::map<AgentId, std::uint64_t> seen;
  Timestamp now;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_
