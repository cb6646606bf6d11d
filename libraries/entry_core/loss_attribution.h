#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOSS_ATTRIBUTION_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOSS_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// Losses of upstreams within this time of each other are one moment: they
// probably have one cause.
inline constexpr Duration kOneMoment = std::chrono::milliseconds(20);
// Losses are attributed together if they lie within this time.
inline constexpr Duration kAttributionWindow = std::chrono::seconds(5);
// A group is blamed once it explains losses at this many moments.
inline constexpr std::uint32_t kMomentsBeforeBlame = 3;
// If more than half of the upstreams are lost within this time, they have a
// common cause that lies outside the tasks.
inline constexpr Duration kCommonCauseWindow = std::chrono::milliseconds(100);

// A group of jobs whose tasks crash upstreams.
struct BlamedGroup {
  JobGroupId group;
  // The losses within the window that the group explains, and the number of
  // distinct moments at which they occurred.
  std::uint32_t losses = 0;
  std::uint32_t moments = 0;
  Timestamp latest;
};

// Determines which groups of jobs crash the upstreams of one service. From the
// suspects of the latest losses, it takes the smallest set of groups that
// explains the losses. A group that only ran beside is present in some of the
// losses, which another group explains.
class LossAttribution {
 public:
  // Records the losses that an agent reports. A loss reported more than once
  // counts once. Returns whether any of them is new.
  bool Record(AgentId agent, const std::vector<RecentLoss>& reported,
              Timestamp now);
  // The groups to blame for the losses within the window before `now`.
  // `upstreams` is the number of the service's upstreams.
  [[nodiscard]] std::vector<BlamedGroup> Blamed(std::size_t upstreams,
                                                Timestamp now) const;
  // The time of the latest loss of which the group is a suspect.
  [[nodiscard]] Timestamp LatestLossOf(JobGroupId group) const;
  // Whether any loss may still lie within the window.
  [[nodiscard]] bool HasLosses() const { return !this->losses.empty(); }
  void Expire(Timestamp now);

 private:
  struct Loss {
    Timestamp at;
    std::vector<JobGroupId> suspects;
  };

  struct Reported {
    std::uint32_t number = 0;
    Timestamp at;
  };

  // The losses within the window that have no common cause.
  [[nodiscard]] std::vector<const Loss*> Unexplained(std::size_t upstreams,
                                                     Timestamp now) const;
  // The group that explains the most losses, unless another group explains the
  // same ones. The returned group has 0 losses if there is none.
  static BlamedGroup Strongest(const std::vector<const Loss*>& losses);
  // The number of losses of which each group is a suspect.
  static std::map<JobGroupId, std::uint32_t> CountSuspects(
      const std::vector<const Loss*>& losses);
  // `losses` are those of which the group is a suspect.
  static BlamedGroup Explained(const std::vector<const Loss*>& losses,
                               JobGroupId group);

  // In the order of time.
  std::deque<Loss> losses;
  // The latest loss of each agent's upstream within the window.
  std::map<AgentId, Reported> latest;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_LOSS_ATTRIBUTION_H_
