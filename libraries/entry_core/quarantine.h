#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libraries/entry_core/entry_events.h"
#include "libraries/entry_core/group_demand.h"
#include "libraries/entry_core/loss_attribution.h"
#include "libraries/entry_core/outage_record.h"

namespace dandelionspur {

// An upstream of the service, whether or not it is up.
struct QuarantineUpstream {
  AgentId agent;
  // Identifies the upstream to all entries, and does not change when its agent
  // restarts.
  std::uint64_t address_digest = 0;
  double cores = 0;
  bool usable = false;
};

// How far a quarantine may go.
struct QuarantineLimits {
  // The largest percentage of the service's capacity that may be set aside. 0:
  // no group is quarantined.
  std::uint32_t maximum_percent = 0;
  // The number of homes that share the service's jobs evenly.
  std::uint32_t homes = 1;
  // The ratio of actual to declared core time.
  double stretch = 1;
};

// A group has been quarantined or released.
struct QuarantineStep {
  QuarantinePhase phase = QuarantinePhase::kBegun;
  JobGroupId group;
  std::uint32_t losses = 0;
  std::uint32_t moments = 0;
  std::uint32_t upstreams = 0;
};

// Keeps the tasks of groups that crash upstreams away from those of all other
// groups: which groups of one service are quarantined now, and on which
// upstreams each of them runs. All entries choose the same upstreams, since the
// choice depends only on the group and on the upstreams' addresses.
class Quarantine {
 public:
  // Records the losses that an agent reports. Returns whether any is new.
  bool Record(AgentId agent, const std::vector<RecentLoss>& reported,
              Timestamp now) {
    return this->attribution.Record(agent, reported, now);
  }
  // Quarantines and releases groups, and chooses their upstreams.
  std::vector<QuarantineStep> Update(
      const std::vector<QuarantineUpstream>& upstreams,
      const GroupDemand& demand, const QuarantineLimits& limits, Timestamp now);

  [[nodiscard]] bool IsActive() const { return !this->held.empty(); }
  [[nodiscard]] bool HasRecentLosses() const {
    return this->attribution.HasLosses();
  }
  [[nodiscard]] bool Contains(JobGroupId group) const {
    return this->held.contains(group);
  }
  [[nodiscard]] std::vector<JobGroupId> Groups() const;
  // The agents of the upstreams of a quarantined group.
  [[nodiscard]] const std::vector<AgentId>& UpstreamsOf(
      JobGroupId group) const {
    return this->held.at(group).upstreams;
  }
  // The usable cores of the group's upstreams, as of the last update.
  [[nodiscard]] double UsableCoresOf(JobGroupId group) const {
    return this->held.at(group).usable_cores;
  }
  // The usable cores outside all quarantines, as of the last update.
  [[nodiscard]] double UsableCoresOutside() const { return this->outside; }
  // The time until one of the group's upstreams is expected to be up; 0 if one
  // is.
  [[nodiscard]] Duration UntilUsable(JobGroupId group, Timestamp now) const;

 private:
  struct Held {
    BlamedGroup blame;
    // The group is released this long after the latest loss that it explains.
    Duration release_after{};
    // In the order in which the group takes them.
    std::vector<AgentId> upstreams;
    double needed_cores = 0;
    double usable_cores = 0;
  };
  struct Released {
    Timestamp at;
    Duration release_after{};
  };

  // The cores that jobs with this demand at this home keep busy at all homes.
  static double NeededCores(double demanded, const QuarantineLimits& limits);
  static QuarantineStep StepOf(const Held& item, QuarantinePhase phase);
  // Quarantines the groups to blame. Returns the new ones.
  std::vector<JobGroupId> Begin(std::size_t upstreams,
                                const GroupDemand& demand, Timestamp now);
  // Releases the groups without losses for long enough, or all of them if no
  // group may be quarantined any more.
  std::vector<QuarantineStep> Release(const QuarantineLimits& limits,
                                      std::size_t upstreams, Timestamp now);
  // Chooses the upstreams of all quarantined groups.
  void ChooseUpstreams(const std::vector<QuarantineUpstream>& upstreams,
                       const GroupDemand& demand,
                       const QuarantineLimits& limits);
  // Notes which upstreams are usable now.
  void Observe(const std::vector<QuarantineUpstream>& upstreams, Timestamp now);

  LossAttribution attribution;
  OutageRecord outages;
  std::map<JobGroupId, Held> held;
  std::map<JobGroupId, Released> released;
  double outside = 0;
  Timestamp next_choice;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_QUARANTINE_H_
