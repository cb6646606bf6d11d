#ifndef DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASED_UPSTREAM_H_
#define DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASED_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "libraries/agent_core/started_set.h"
#include "platform/upstream_calls.h"

namespace dandelionspur {

struct LeasedUpstreamSettings {
  // The service whose tasks the upstream runs; empty: any.
  ServiceName service;
  // Longest lease that the upstream grants, on its own clock.
  Duration maximum_lease = std::chrono::milliseconds(1000);
  // How long the upstream holds back the answer to a list for the next end.
  Duration list_poll_timeout = std::chrono::milliseconds(400);
  // First fencing token; above all that earlier processes have used.
  FencingToken first_token;
};

// Numbers the lists that were asked for.
using ListNumber = StrongType<std::uint64_t, struct ListNumberTag>;

// The calls that the session wants to be made.
struct SendStart {
  UpstreamHeartbeat receiver;
  StartOrder order;
};
struct SendStop {
  UpstreamHeartbeat receiver;
  StopOrder order;
};
struct SendList {
  UpstreamHeartbeat receiver;
  ListNumber number;
  ListOrder order;
};

// What the session asks of its surroundings, in order. An AgentEvent goes to
// the agent's core.
using SessionEffect = std::variant<SendStart, SendStop, SendList, AgentEvent>;

// The agent's dealings with an upstream that runs tasks under one lease and
// lists what runs and what has ended. A deterministic state machine without
// sockets or clocks.
//
// An order without an answer may be carried out seconds later. It is settled by
// a list under a higher fencing token: from then on the order has no effect,
// and the list tells whether it had one before.
class LeasedUpstream {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  explicit LeasedUpstream(const LeasedUpstreamSettings& configured);

  void OnHeartbeat(const UpstreamHeartbeat& heartbeat, SteadyTime now);
  // The upstream has ended, and with it all that ran on it.
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
  // Whether leases may be given and extended. Without, nothing is started, and
  // what runs stops when its lease ends. Call before each of the others.
  void SetLeaseRenewal(LeaseRenewal wanted) { this->renewal = wanted; }

  std::vector<SessionEffect> TakeEffects();

 private:
  enum class Phase {
    // The order is on its way.
    kOrdered,
    // The order got no answer.
    kUnsettled,
    kRunning,
  };
  struct Task {
    TaskId id;
    TaskRun run;
    Payload body;
    Phase phase = Phase::kOrdered;
    // Of the latest order.
    FencingToken token;
    // The first list asked for after the run was known to be there.
    ListNumber listed_from;
    SteadyTime began;
    std::uint32_t orders = 0;
    bool stop_wanted = false;
    SteadyTime next_stop;
  };
  struct PendingList {
    FencingToken token;
    SteadyTime sent_at;
    // How long the upstream may hold back the answer.
    Duration patience{};
  };

  void Adopt(const UpstreamHeartbeat& heartbeat, SteadyTime now);
  void Announce();
  void SendOrder(Task& task, SteadyTime now);
  void SendStopOf(Task& task, SteadyTime now);
  void AskForList(Duration patience, SteadyTime now);
  // Whether a list is under way of which the answer can still be expected.
  [[nodiscard]] bool AwaitsTimelyList(SteadyTime now) const;
  // Keeps one list under way while there is anything to learn.
  void KeepListing(SteadyTime now);
  void TakeEnds(const ListAnswer& list, SteadyTime now);
  void Reconcile(ListNumber number, const PendingList& asked,
                 const ListAnswer& list, SteadyTime now);
  // Stops what an earlier process of this agent has left running; true if
  // there is nothing of that kind.
  bool StopStrangers(const ListAnswer& list);
  void End(const std::string& name, UpstreamResult result, SteadyTime now);
  void EndAll(UpstreamResult result, SteadyTime now);
  // The end of a lease that begins now, on the upstream's clock; notes when it
  // must be over on ours.
  Duration ExtendLease(SteadyTime now);
  void RaiseToken();
  // The upstream has seen a higher token than `refused`.
  void LeapAbove(FencingToken refused);
  void NoteClock(const OrderAnswer& answer, SteadyTime now);
  void NoteAnswered(SteadyTime now);
  void NoteFailed(SteadyTime now);
  void SetContact(UpstreamContact wanted);
  [[nodiscard]] Duration UpstreamClock(SteadyTime now) const;
  [[nodiscard]] Task* Find(const TaskRun& run);
  RunNumber NextRun(const std::string& name);

  LeasedUpstreamSettings settings;
  std::optional<UpstreamHeartbeat> upstream;
  FencingToken token;
  EndNumber acknowledged;
  // By the upstream's name for them.
  std::map<std::string, Task> tasks;
  std::unordered_map<TaskId, std::string, TaskIdHash> names;
  std::unordered_map<std::string, RunNumber> last_runs;
  std::map<ListNumber, PendingList> lists;
  std::uint64_t last_list = 0;
  // The upstream's clock when it was last told.
  Duration clock{};
  SteadyTime clock_read_at;
  SteadyTime last_answer;
  SteadyTime next_list;
  // The lease that was last asked for ends by then, on our clock.
  SteadyTime lease_over;
  UpstreamContact contact = UpstreamContact::kSilent;
  // Whether nothing of an earlier process runs any more.
  bool cleared = false;
  bool leaving_told = false;
  LeaseRenewal renewal = LeaseRenewal::kSuspended;
  std::vector<SessionEffect> effects;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_UPSTREAM_SESSION_LEASED_UPSTREAM_H_
