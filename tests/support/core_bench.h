#ifndef DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_
#define DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// The processes around the entry of a CoreBench.
struct CoreBenchShape {
  std::uint32_t agents = 1;
  // The capacity of each agent's upstream, in tasks.
  std::uint32_t slots = 8;
  // The number of live peers. There is one more peer, which is dead.
  std::uint32_t living_peers = 0;
  std::uint32_t buckets = 128;
};

// A test bench with one entry core and agents that are ready, for benchmarks
// and tests. It stands in for the peers and agents, which reply immediately.
class CoreBench {
 public:
  explicit CoreBench(const CoreBenchShape& surroundings);

  // The peer that relays all jobs. It is in the view but proven dead, so that
  // the live entries take over its buckets.
  static EntryId RelayingPeer();
  // A relayed job of `tasks` tasks for the service of the bench.
  static Relay RelayOf(std::uint64_t number, std::uint32_t tasks);

  // Delivers a relayed job and completes all of its tasks. Returns the number
  // of tasks started.
  std::uint32_t RunJob(std::uint64_t number, std::uint32_t tasks);
  // Delivers a relayed job without completing its tasks.
  void SubmitJob(std::uint64_t number, std::uint32_t tasks);
  // Handles one event and returns its effects.
  std::vector<EntryEffect> Handle(const EntryEvent& event);

  // Advances time with a tick every 50 ms.
  void AdvanceTime(Duration time);
  // Delivers a heartbeat of an agent whose upstream is idle.
  std::vector<EntryEffect> DeliverAgentHeartbeat(std::uint32_t number);
  // Delivers a heartbeat of an agent whose upstream has no free capacity.
  std::vector<EntryEffect> DeliverFullAgentHeartbeat(std::uint32_t number);
  // Delivers a heartbeat of a live peer.
  std::vector<EntryEffect> DeliverPeerHeartbeat(std::uint32_t number);

  // Delivers a heartbeat of each live peer.
  void DeliverPeerHeartbeats();

  EntryCore& core() { return this->entry; }

 private:
  std::vector<EntryEffect> DeliverHeartbeat(std::uint32_t number,
                                            const AgentLoad& load);
  // Delivers replies that grant all requests for promises since the last call,
  // and those that are sent in reaction.
  void GrantPromises();

  CoreBenchShape shape;
  EntryCore entry;
  // The number of starts that each agent has received.
  std::map<AgentId, std::uint64_t> starts_seen;
  Timestamp now;
  // Not granted yet.
  std::deque<EntryEffect> promise_requests;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_CORE_BENCH_H_
