#ifndef DANDELIONSPUR_TESTS_SUPPORT_CANCELLATION_CHECK_H_
#define DANDELIONSPUR_TESTS_SUPPORT_CANCELLATION_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/entry_core/entry_core.h"
#include "tests/support/simulated_network.h"

namespace dandelionspur {

// Checks that nothing of a job starts whose cancelling was acknowledged, once
// all processes have been in touch for longer than it takes to tell each other.
// Two entries know of an acknowledged cancelling, so it may be lost with two,
// or with the only member of a view.
class CancellationCheck {
 public:
  // Returns the id of the request.
  RequestId OnRequested(NodeId entry);
  // `members` is the size of the view of the entry that answers. Returns a
  // violation of the protocol, if it is one.
  std::optional<std::string> OnAnswered(const CancelAnswered& answer,
                                        std::size_t members);
  void OnEntryLost() { ++this->lost_entries; }
  // All processes are in touch from now on, and have been for long enough.
  void Settle() { this->settled = true; }
  // Returns a violation, if the job must not start any more.
  [[nodiscard]] std::optional<std::string> OnStart(const JobKey& key) const;

  // The jobs that must not start any more.
  [[nodiscard]] std::vector<JobKey> Held() const;
  // Whether a request at the entry has no answer yet.
  [[nodiscard]] bool HasPendingRequest(NodeId entry) const;

 private:
  [[nodiscard]] bool MustHold(const JobKey& key) const;

  std::map<RequestId, NodeId> pending;
  // The number of entries that may have been lost before the cancelling is.
  std::map<JobKey, std::uint32_t> acknowledged;
  std::uint64_t last_request = 0;
  std::uint32_t lost_entries = 0;
  bool settled = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_CANCELLATION_CHECK_H_
