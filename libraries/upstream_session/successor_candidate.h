#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SUCCESSOR_CANDIDATE_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SUCCESSOR_CANDIDATE_H_

#include <chrono>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/upstream_session/list_number.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

// An incarnation whose heartbeat a session has received while it has another
// one. The heartbeat may have been delayed until after its sender's end, so it
// proves nothing. A list request to the candidate does: an answer shows that
// the candidate is alive, and that no other process listens at its address.
class SuccessorCandidate {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  SuccessorCandidate(const UpstreamHeartbeat& received, SteadyTime now)
      : latest(received), heard_at(now) {}

  void OnHeartbeat(const UpstreamHeartbeat& received, SteadyTime now);
  void OnProbeSent(ListNumber number, SteadyTime now);
  void OnProbeAnswer(const ListAnswer& list, const UpstreamIncarnation& present,
                     SteadyTime now);

  [[nodiscard]] const UpstreamHeartbeat& heartbeat() const {
    return this->latest;
  }
  [[nodiscard]] bool is_alive() const { return this->alive; }
  [[nodiscard]] bool IsProbe(ListNumber number) const {
    return this->probe == number;
  }
  [[nodiscard]] bool IsProbeDue(SteadyTime now) const;
  [[nodiscard]] bool IsOutdated(SteadyTime now) const;
  // Whether the candidate has proven that the other incarnation has ended.
  [[nodiscard]] bool ProvesEndOf(const UpstreamHeartbeat& present) const {
    return this->alive && this->latest.endpoint == present.endpoint;
  }
  // Whether the candidate, at another address, is to be preferred to an
  // incarnation that answers and runs nothing.
  [[nodiscard]] bool IsPreferredTo(const UpstreamHeartbeat& present) const;

 private:
  UpstreamHeartbeat latest;
  SteadyTime heard_at;
  // The latest list request to the candidate that is not yet answered.
  std::optional<ListNumber> probe;
  SteadyTime next_probe;
  bool alive = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_SUCCESSOR_CANDIDATE_H_
