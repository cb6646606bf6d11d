#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_GROUP_DEMAND_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_GROUP_DEMAND_H_

#include <map>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// The number of processor cores that each group of jobs keeps busy: the
// declared core time of its jobs per time, as an average that forgets old jobs
// exponentially. Unlike the queue, it does not grow while upstreams are down.
class GroupDemand {
 public:
  void Add(JobGroupId group, Duration core_time, Timestamp now);
  // Forgets the groups without recent jobs, and brings the averages to `now`.
  void Advance(Timestamp now);
  // As of the last call of Advance.
  [[nodiscard]] double CoresOf(JobGroupId group) const;
  [[nodiscard]] double TotalCores() const { return this->total; }

 private:
  struct Average {
    double cores = 0;
    Timestamp at;

    void Decay(Timestamp now);
  };

  std::map<JobGroupId, Average> groups;
  double total = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_GROUP_DEMAND_H_
