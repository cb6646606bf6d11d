#ifndef DANDELIONSPUR_SERVICES_ENTRY_LOAD_GUARD_H_
#define DANDELIONSPUR_SERVICES_ENTRY_LOAD_GUARD_H_

#include <boost/describe.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "libraries/base/time.h"
#include "libraries/telemetry/standing_delay.h"
#include "services/entry/drain_estimate.h"

namespace dandelionspur {

// The resource of the instance that has no room for a further job.
// kPeer: the connection to the home of the job.
BOOST_DEFINE_ENUM_CLASS(ScarceResource, kLink, kMemory, kDelay, kPeer)

// Why an entry takes in no new jobs, and when a caller should come back.
struct Overload {
  ScarceResource resource = ScarceResource::kLink;
  Duration retry_after{};
};

// What decides whether a new job may be taken in, besides what the guard has
// recorded.
struct AdmissionRequest {
  // The time that the messages take that wait for the link.
  Duration send_delay{};
  // How long the caller has use for the answer, beyond the run of the job's
  // longest task.
  Duration slack{};
};

// Decides whether an entry may take in a new job, by the messages that wait for
// the instance's link, by the memory that the process holds, and by how far the
// process is behind with its own work. An entry that took in more than it can
// hold would be killed, and all its callers with it would get no answer; one
// that is behind would answer after its callers' deadlines. Jobs that were
// taken in before go on.
class LoadGuard {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `memory_limit`: the process is killed above this many bytes; 0: there is no
  // limit.
  explicit LoadGuard(std::uint64_t memory_limit);
  // The part of the memory up to which new jobs are taken in.
  [[nodiscard]] static std::uint64_t BudgetOf(std::uint64_t memory_limit);

  // Records the bytes that the process has allocated and not freed. Call it
  // periodically.
  void NoteMemory(std::uint64_t bytes, SteadyTime now);
  // Records that a job of this size was taken in, whose memory NoteMemory tells
  // only later.
  void NoteAdmitted(std::uint64_t bytes);
  // Records the delay of the process in the interval that ends at `now`, from
  // the arrival of an event to its handling.
  void NoteDelay(Duration delay, SteadyTime now);
  // Why the new job may not be taken in, or nothing.
  [[nodiscard]] std::optional<Overload> Check(
      const AdmissionRequest& job) const;
  // Whether the process is so far behind that callers notice it.
  [[nodiscard]] bool IsBehind() const;

 private:
  [[nodiscard]] std::optional<Overload> CheckMemory() const;
  [[nodiscard]] std::optional<Overload> CheckDelay(Duration slack) const;

  std::uint64_t memory_budget;
  std::uint64_t memory_in_use = 0;
  // What the jobs may need that were taken in since then.
  std::uint64_t memory_admitted = 0;
  DrainEstimate memory_drain;
  StandingDelay delay;
  DrainEstimate delay_drain;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_LOAD_GUARD_H_
