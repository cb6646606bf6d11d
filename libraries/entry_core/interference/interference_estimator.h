#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_INTERFERENCE_ESTIMATOR_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_INTERFERENCE_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/entry_core/interference/banded_sample.h"
#include "libraries/entry_core/interference/slowness_model.h"
#include "libraries/entry_core/interference/suspicion_phase.h"

namespace dandelionspur {

// A task that ended in success.
struct ObservedTask {
  JobGroupId group;
  AgentId upstream;
  Duration declared{};
  Duration elapsed{};
  // The number of tasks of its job; their declared times are wrong together.
  std::size_t tasks_of_job = 1;
  // The share of the upstream's capacity that was in use, from 0 to 1.
  double used_share = 0;
  // The other groups that ran beside it.
  std::vector<JobGroupId> neighbours;
};

// A group that slows down another one, or, if `victim` is 0, all groups.
struct Suspicion {
  JobGroupId victim;
  JobGroupId neighbour;
  // How many times as long the victim's tasks take beside the neighbour.
  double slowdown = 1;
  // In standard errors of the logarithm of `slowdown`.
  double significance = 0;
  // The weight of the observations that speak for it: one a job when new,
  // less with age.
  double weight = 0;
  Timestamp since;

  [[nodiscard]] bool ConcernsAll() const {
    return this->victim == JobGroupId();
  }
};

// A suspicion that has begun or ended.
struct SuspicionStep {
  SuspicionPhase phase = SuspicionPhase::kBegun;
  Suspicion suspicion;
};

// The groups beside which a task should not run.
class AvoidedGroups {
 public:
  void Add(JobGroupId group) { this->groups.push_back(group); }
  void AddAllBut(std::vector<JobGroupId> groups_to_exempt);
  [[nodiscard]] bool IsEmpty() const {
    return this->groups.empty() && !this->has_all;
  }
  [[nodiscard]] bool Contains(JobGroupId group) const;

 private:
  std::vector<JobGroupId> groups;
  bool has_all = false;
  // Meaningful with `has_all`.
  std::vector<JobGroupId> exempt;
};

// Finds the groups of one service whose tasks slow down those of other groups
// at the same upstream: docs/design/interference.md.
class InterferenceEstimator {
 public:
  // Learns from a task. Ignores one without a group, a declared time or a
  // measured time.
  void Observe(const ObservedTask& task, Timestamp now);
  // Judges the pairs that were observed, at intervals. Returns the suspicions
  // that have begun or ended.
  std::vector<SuspicionStep> Update(Timestamp now);
  // Forgets everything.
  void Clear();

  // The groups that slow this one down, and those that it slows down.
  [[nodiscard]] AvoidedGroups ToAvoid(JobGroupId group) const;
  // The most significant first; at most kMaximumSuspicions.
  [[nodiscard]] const std::vector<Suspicion>& suspicions() const {
    return this->held;
  }
  // The number of pairs with evidence.
  [[nodiscard]] std::size_t pair_count() const { return this->pairs.size(); }

  static constexpr std::size_t kMaximumPairs = 2048;
  static constexpr std::size_t kMaximumSuspicions = 64;

 private:
  // `victim` is 0 in the pair that stands for all groups beside the neighbour.
  struct Pair {
    JobGroupId victim;
    JobGroupId neighbour;
    auto operator<=>(const Pair&) const = default;
  };
  struct Evidence {
    BandedSample sample;
    // A bit for each upstream that the pair was observed at, by a hash.
    std::uint64_t upstreams = 0;
    bool is_harmless = false;
  };

  void Record(const Pair& pair, const ObservedTask& task, double unexplained,
              Timestamp now);
  // Whether the evidence is enough for a suspicion, or, if there is one
  // already (`was`), for keeping it, which takes less.
  static bool Supports(const Contrast& contrast, const Evidence& evidence,
                       const Suspicion* was);
  static const Suspicion* Find(const std::vector<Suspicion>& suspicions,
                               const Pair& pair);
  // Returns what differs between the former suspicions and the present ones.
  [[nodiscard]] std::vector<SuspicionStep> StepsFrom(
      const std::vector<Suspicion>& former) const;
  [[nodiscard]] bool IsHarmless(const Pair& pair) const;
  // The groups that run beside the neighbour without harm.
  [[nodiscard]] std::vector<JobGroupId> Unharmed(JobGroupId neighbour) const;
  // Makes room for new pairs if there is none, at the cost of the lightest.
  void RemoveLightest();

  SlownessModel model;
  // All observations of each group, beside whichever neighbours; under 0 those
  // of all groups.
  std::map<JobGroupId, BandedSample> totals;
  std::map<Pair, Evidence> pairs;
  std::vector<Suspicion> held;
  Timestamp next_update;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_INTERFERENCE_ESTIMATOR_H_
