#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_RECENT_LOSSES_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_RECENT_LOSSES_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// The latest losses of an agent's upstream, which its heartbeats tell all
// entries. Each is repeated for some seconds, since single heartbeats may be
// lost with a connection.
class RecentLosses {
 public:
  void Add(Timestamp lost_at, std::vector<JobGroupId> suspects);
  // Removes the latest loss: the upstream has answered again.
  void WithdrawLatest();
  [[nodiscard]] std::vector<RecentLoss> Report(Timestamp now) const;
  void Expire(Timestamp now);

 private:
  struct Loss {
    std::uint32_t number = 0;
    Timestamp lost_at;
    std::vector<JobGroupId> suspects;
  };

  std::deque<Loss> losses;
  std::uint32_t last_number = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_RECENT_LOSSES_H_
