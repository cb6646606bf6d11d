#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PLACEMENT_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PLACEMENT_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <variant>
#include <vector>

#include "libraries/configuration/service_document.h"
#include "libraries/entry_core/agent_registry.h"
#include "libraries/entry_core/placement/expected_end.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {

// The agents that a task may be sent to. Never empty when a policy chooses.
using Candidates = std::vector<const KnownAgent*>;

// The task that is placed.
struct PlacementRequest {
  TaskId id;
  TaskOutlook outlook;
  Timestamp now;
};

// A policy that chooses among agents with free capacity and returns the index
// of the chosen one.
template <typename Policy>
concept PlacementPolicy = requires(Policy policy, const Candidates& agents,
                                   const PlacementRequest& request) {
  { policy.Choose(agents, request) } -> std::same_as<std::size_t>;
};

// The upstream with the lowest measured slowness. Among equals, the one with
// the fewest running tasks of this entry.
class FastestFree {
 public:
  [[nodiscard]] std::size_t Choose(const Candidates& agents,
                                   const PlacementRequest& /*request*/) const {
    std::size_t best = 0;
    for (std::size_t i = 1; i < agents.size(); ++i) {
      const KnownAgent& current = *agents[i];
      const KnownAgent& leader = *agents[best];
      if (current.slowness < leader.slowness) best = i;
      if (current.slowness == leader.slowness &&
          current.running < leader.running) {
        best = i;
      }
    }
    return best;
  }
};

// The upstream with the least resources in use, for tasks that may crash it.
class LeastTaken {
 public:
  [[nodiscard]] std::size_t Choose(const Candidates& agents,
                                   const PlacementRequest& /*request*/) const {
    const auto least = std::min_element(
        agents.begin(), agents.end(),
        [](const KnownAgent* left, const KnownAgent* right) {
          return left->Taken().millicores < right->Taken().millicores;
        });
    return static_cast<std::size_t>(least - agents.begin());
  }
};

// The upstream where the task is expected to end first. Among upstreams where
// it ends about as soon, a hash of the job's key and the task's index chooses,
// so that the entries don't all start their tasks at the same one.
class SoonestEnd {
 public:
  std::size_t Choose(const Candidates& agents, const PlacementRequest& request);

 private:
  // Members only to reuse their allocations; the content is per decision.
  std::vector<Duration> ends;
  std::vector<std::size_t> near_best;
};

// Baseline: a random upstream.
class RandomChoice {
 public:
  explicit RandomChoice(std::uint64_t seed) : generator(seed) {}
  std::size_t Choose(const Candidates& agents,
                     const PlacementRequest& /*request*/) {
    return static_cast<std::size_t>(this->generator() % agents.size());
  }

 private:
  std::mt19937_64 generator;
};

// Baseline: each upstream in turn.
class RoundRobin {
 public:
  std::size_t Choose(const Candidates& agents,
                     const PlacementRequest& /*request*/) {
    ++this->turn;
    return this->turn % agents.size();
  }

 private:
  std::size_t turn = 0;
};

// Baseline: of two random upstreams, the one with fewer running tasks of this
// entry.
class TwoChoices {
 public:
  explicit TwoChoices(std::uint64_t seed) : random(seed) {}
  std::size_t Choose(const Candidates& agents,
                     const PlacementRequest& request) {
    const std::size_t first = this->random.Choose(agents, request);
    const std::size_t second = this->random.Choose(agents, request);
    return agents[second]->running < agents[first]->running ? second : first;
  }

 private:
  RandomChoice random;
};

static_assert(PlacementPolicy<FastestFree> && PlacementPolicy<LeastTaken> &&
              PlacementPolicy<RandomChoice> && PlacementPolicy<RoundRobin> &&
              PlacementPolicy<TwoChoices> && PlacementPolicy<SoonestEnd>);

using Placement =
    std::variant<FastestFree, RandomChoice, RoundRobin, TwoChoices, SoonestEnd>;

inline Placement MakePlacement(PlacementKind kind, std::uint64_t seed) {
  switch (kind) {
    case PlacementKind::kRandom:
      return RandomChoice(seed);
    case PlacementKind::kRoundRobin:
      return RoundRobin();
    case PlacementKind::kTwoChoices:
      return TwoChoices(seed);
    case PlacementKind::kSoonestEnd:
      return SoonestEnd();
    case PlacementKind::kFastestFree:
      break;
  }
  return FastestFree();
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_PLACEMENT_H_
