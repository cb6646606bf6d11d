#include "libraries/upstream_session/successor_candidate.h"

namespace dandelionspur {
namespace {

// A local upstream answers within milliseconds or not at all.
constexpr Duration kProbeInterval = std::chrono::milliseconds(60);
// Some heartbeat intervals; a living candidate has sent another one by then.
constexpr Duration kOutdatedAfter = std::chrono::seconds(3);

}  // namespace

void SuccessorCandidate::OnHeartbeat(const UpstreamHeartbeat& received,
                                     SteadyTime now) {
  if (received.sequence <= this->latest.sequence) return;
  // An answer from an earlier address says nothing about the present one.
  if (received.endpoint != this->latest.endpoint) this->alive = false;
  this->latest = received;
  this->heard_at = now;
}

void SuccessorCandidate::OnProbeSent(ListNumber number, SteadyTime now) {
  this->probe = number;
  this->next_probe = now + kProbeInterval;
}

void SuccessorCandidate::OnProbeAnswer(const ListAnswer& list,
                                       const UpstreamIncarnation& present,
                                       SteadyTime now) {
  this->probe.reset();
  this->next_probe = now + kProbeInterval;
  if (list.answer.outcome != OrderOutcome::kDone) return;
  const UpstreamIncarnation& own = this->latest.incarnation;
  // An answer without a start time distinguishes only between ids.
  this->alive = list.started_milliseconds == 0
                    ? own.id != present.id
                    : list.started_milliseconds == own.started_milliseconds;
}

bool SuccessorCandidate::IsProbeDue(SteadyTime now) const {
  return !this->alive && now >= this->next_probe;
}

bool SuccessorCandidate::IsOutdated(SteadyTime now) const {
  return now - this->heard_at > kOutdatedAfter;
}

bool SuccessorCandidate::IsPreferredTo(const UpstreamHeartbeat& present) const {
  return this->latest.state == UpstreamState::kReady &&
         this->latest.incarnation.started_milliseconds >
             present.incarnation.started_milliseconds;
}

}  // namespace dandelionspur
