#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_SLOWNESS_MODEL_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_SLOWNESS_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// Whether an observation may change what is believed of its upstream.
enum class UpstreamTraining { kTrains, kKeeps };

// Explains the measured over the declared time of a task by what has nothing to
// do with its neighbours: how far off its group declares, how slow its upstream
// is, and how slow all upstreams of the service are at present. All values are
// natural logarithms of a ratio.
class SlownessModel {
 public:
  // Returns the part of `logarithm` that the model, as it was, leaves
  // unexplained, and learns from the observation. 0 for the first observation
  // of a group, and for a new group if there is no room for it.
  double Learn(JobGroupId group, AgentId upstream, double logarithm,
               UpstreamTraining training, Timestamp now);
  // Removes what hasn't been observed for long.
  void Expire(Timestamp now);
  [[nodiscard]] std::size_t upstream_count() const {
    return this->upstreams.size();
  }
  [[nodiscard]] std::size_t group_count() const { return this->groups.size(); }

 private:
  struct Estimate {
    double value = 0;
    std::uint64_t observations = 0;
    Timestamp latest;
  };

  double service = 0;
  std::map<JobGroupId, Estimate> groups;
  std::map<AgentId, Estimate> upstreams;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_INTERFERENCE_SLOWNESS_MODEL_H_
