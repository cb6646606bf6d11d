#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASED_UPSTREAM_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASED_UPSTREAM_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "libraries/upstream_session/list_number.h"
#include "libraries/upstream_session/response_tracker.h"
#include "libraries/upstream_session/session_effects.h"
#include "libraries/upstream_session/session_reporter.h"
#include "libraries/upstream_session/successor_candidate.h"
#include "libraries/upstream_session/upstream_orders.h"
#include "libraries/upstream_session/upstream_tasks.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

struct LeasedUpstreamSettings {
  // The service whose tasks the upstream runs; empty for any service.
  ServiceName service;
  // Longest lease that the upstream grants, measured on its own clock.
  Duration maximum_lease = std::chrono::milliseconds(1000);
  // How long the upstream may delay the answer to a list request while it waits
  // for the next completion.
  Duration list_poll_timeout = std::chrono::milliseconds(400);
  // First fencing token; higher than all tokens that earlier processes of this
  // agent have used.
  FencingToken first_token;
};

// The agent's session with an upstream that runs all its tasks under one lease
// and lists its running tasks and completions on request. A deterministic state
// machine without sockets or clocks.
//
// A start order without an answer may still be carried out seconds later. The
// session resolves this with a list request under a higher fencing token: once
// the upstream has seen that token, the order has no further effect, and the
// list shows whether the order was carried out before. A list request that
// renews the lease and gets no answer is superseded in the same way. While the
// upstream can't be reached, the task counts as running for as long as such an
// order may be carried out.
//
// A heartbeat of another incarnation does not end the tasks of the present one,
// since it may have been delayed. They end when the other incarnation answers
// at the same address and does not list them, or when all leases have expired.
class LeasedUpstream {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  explicit LeasedUpstream(const LeasedUpstreamSettings& configured);

  void OnHeartbeat(const UpstreamHeartbeat& heartbeat, SteadyTime now);
  // The upstream process is about to exit, or has exited. It may go on until it
  // has the answer, and a notice that does not say when its sender started may
  // be an earlier process's. So the tasks end by lists or by the lease.
  void OnGone(const UpstreamGone& gone, SteadyTime now);
  void Run(const RunOnUpstream& wanted, SteadyTime now);
  void Stop(const TaskId& task, SteadyTime now);
  void OnStartAnswer(const StartOrder& order, const OrderAnswer& answer,
                     SteadyTime now);
  void OnStopAnswer(const StopOrder& order, const OrderAnswer& answer,
                    SteadyTime now);
  void OnListAnswer(ListNumber number, const ListAnswer& list, SteadyTime now);
  // Call about every 50 ms.
  void Tick(SteadyTime now);
  // Sets whether leases may be granted and extended. While they may not, no
  // task is started, and running tasks stop when the lease expires. Call this
  // before each of the other functions.
  void SetLeaseRenewal(LeaseRenewal wanted) { this->renewal = wanted; }

  std::vector<SessionEffect> TakeEffects();
  // The tasks whose start orders the upstream is not known to have carried out.
  [[nodiscard]] std::vector<TaskId> UnconfirmedTasks() const {
    return this->tasks.Unconfirmed();
  }

 private:
  void OnOtherIncarnation(const UpstreamHeartbeat& heartbeat, SteadyTime now);
  // Asks the successor whether it is alive, or adopts it once the present
  // incarnation has ended or is idle.
  void FollowSuccessor(SteadyTime now);
  void ProbeSuccessor(SteadyTime now);
  void OnProbeAnswer(const ListAnswer& list, SteadyTime now);
  void ReplaceUpstream(SteadyTime now);
  void Adopt(const UpstreamHeartbeat& heartbeat, SteadyTime now);
  // Ends the session with an upstream that has departed and runs no task.
  void EndSession();
  void OrderStart(UpstreamTask& task, SteadyTime now);
  void OrderStop(UpstreamTask& task, SteadyTime now);
  void RequestList(Duration poll_timeout, SteadyTime now);
  // Requests a list if none is pending while tasks run, runs of an earlier
  // process may exist, or the upstream is unresponsive.
  void RequestListIfDue(SteadyTime now);
  // Stops listed runs that this session did not start, such as those of an
  // earlier process of this agent. Returns true if there are none.
  bool StopUnknownRuns(const ListAnswer& list);
  // Ends the tasks of an unresponsive upstream that can't be running any more.
  // Those whose start isn't confirmed may begin to run long after the others
  // have ended.
  void CompleteExpired(SteadyTime now);
  // Does nothing for a task that has ended before.
  void Complete(const EndedTask& ended, SteadyTime now);
  void Complete(const std::vector<EndedTask>& ended, SteadyTime now);
  // Whether the upstream is leaving or has announced its end.
  [[nodiscard]] bool IsEndPlanned() const;
  // Reports the upstream as lost, if tasks were running there.
  void ReportLoss(LossEvidence evidence);
  void ReportEnd(SessionEndEvidence evidence);
  void RecordAnswer(SteadyTime now);
  // Records a call that the upstream did not answer. After the first one since
  // the latest answer, requests a list at once to find out whether the upstream
  // still answers.
  void RecordFailure(SteadyTime now);
  // Whether a list request that was sent after a failed call was refused as
  // well.
  [[nodiscard]] bool IsContactBroken(ListNumber number,
                                     OrderOutcome outcome) const;
  void ReportContactBroken(SteadyTime now);

  LeasedUpstreamSettings settings;
  std::optional<UpstreamHeartbeat> upstream;
  // Another incarnation that may have replaced the present one.
  std::optional<SuccessorCandidate> successor;
  UpstreamOrders orders;
  UpstreamTasks tasks;
  ResponseTracker responses;
  SteadyTime next_list;
  // Whether a list has shown that no runs of an earlier process are left.
  bool unknown_runs_stopped = false;
  // Whether a departure notice names the upstream's id.
  bool departure_noticed = false;
  // Whether the upstream has refused a connection since its latest answer.
  bool refused_since_answer = false;
  // Whether its loss was reported since then. Tasks whose starts aren't
  // confirmed may end long after the others.
  bool loss_reported = false;
  LeaseRenewal renewal = LeaseRenewal::kSuspended;
  SessionReporter reporter;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASED_UPSTREAM_H_
