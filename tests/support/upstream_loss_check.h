#ifndef DANDELIONSPUR_TESTS_SUPPORT_UPSTREAM_LOSS_CHECK_H_
#define DANDELIONSPUR_TESTS_SUPPORT_UPSTREAM_LOSS_CHECK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/protocol/agent_messages.h"

namespace dandelionspur {

// Checks what is promised about tasks that crash upstreams, from what an
// observer of all upstreams sees.
class UpstreamLossCheck {
 public:
  // Records that an upstream was lost while it ran these tasks. Returns a
  // violation if more upstreams were lost under one of them than promised.
  [[nodiscard]] std::optional<std::string> OnUpstreamLost(
      const std::vector<TaskId>& running);
  // From now on, the home of a task may have been lost.
  void OnEntryLost() { this->entry_lost = true; }
  // Returns a violation if no task of the job may be given up.
  [[nodiscard]] std::optional<std::string> OnGivenUp(const JobKey& key) const;

 private:
  struct Losses {
    // Losses beside no stronger suspect.
    std::uint32_t suspected = 0;
    std::uint32_t total = 0;
  };

  std::map<TaskId, Losses> tasks;
  bool entry_lost = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_UPSTREAM_LOSS_CHECK_H_
