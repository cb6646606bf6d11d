#ifndef DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_
#define DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/agent_core/agent_events.h"
#include "libraries/agent_core/credit_ledger.h"
#include "libraries/agent_core/started_set.h"

namespace dandelionspur {

struct AgentCoreSettings {
  AgentId self;
  std::uint32_t bucket_count = 0;
  StartedSetLimits started_set;
  // How long an unanswered registration waits before it is sent again.
  Duration registration_interval = std::chrono::milliseconds(200);
  Duration heartbeat_interval = std::chrono::milliseconds(300);
};
BOOST_DESCRIBE_STRUCT(StartedSetLimits, (),
                      (maximum_tasks, maximum_answer_bytes, duplicate_window))
BOOST_DESCRIBE_STRUCT(AgentCoreSettings, (),
                      (self, bucket_count, started_set, registration_interval,
                       heartbeat_interval))

// Every decision of an agent, as a deterministic state machine: the last
// guard before a task reaches its upstream. It owns no socket, thread, clock
// or random source.
class AgentCore {
 public:
  using Event = AgentEvent;
  using Effect = AgentEffect;
  using Settings = AgentCoreSettings;

  explicit AgentCore(const AgentCoreSettings& configured);

  std::vector<AgentEffect> Handle(const AgentEvent& event, Timestamp now);

  [[nodiscard]] std::size_t running() const { return this->runners.size(); }
  [[nodiscard]] std::size_t remembered() const { return this->started.size(); }
  [[nodiscard]] bool is_ready() const { return this->ready; }

 private:
  void On(const UpstreamAnnounced& event);
  void On(const EntryConnected& event);
  void On(const EntryDisconnected& event);
  void On(const EntryMessageReceived& event);
  void On(const UpstreamEnded& event);
  void On(const AgentViewRead& event);
  void On(const LeaveRequested& event);
  void On(const AgentTick& event);

  void OnMessage(EntryId from, const RegisterAcknowledged& message);
  void OnMessage(EntryId from, const PromiseRequest& message);
  void OnMessage(EntryId from, const Start& message);
  void OnMessage(EntryId from, const Renounce& message);
  void OnMessage(EntryId from, const StopTask& message);
  void OnMessage(EntryId from, const CreditRequest& message);
  void OnMessage(EntryId from, const CreditReturn& message);
  void OnMessage(EntryId from, const ConfirmRequest& message);

  void AdoptView(const View& candidate);
  void SendRegistrations();
  void CheckReady();
  [[nodiscard]] std::optional<Reason> StartObstacle(const Start& start) const;
  void RefuseStart(EntryId to, const Start& start, Reason reason);
  // Hands out free slots; what `receiver` gets is returned instead of sent,
  // to ride on a message that goes there anyway.
  std::uint32_t ShareCredits(EntryId receiver);
  void Send(EntryId to, AgentMessage message);
  [[nodiscard]] BucketId BucketOfKey(const JobKey& key) const;

  AgentCoreSettings settings;
  StartedSet started;
  CreditLedger ledger;
  View view;
  std::optional<AgentDescription> description;
  std::vector<Ballot> promises;
  std::set<EntryId> connected;
  std::set<EntryId> acknowledged;
  std::unordered_map<TaskId, EntryId, TaskIdHash> runners;
  Timestamp current_time;
  Timestamp next_registration;
  Timestamp next_heartbeat;
  bool ready = false;
  bool leaving = false;
  bool drained_reported = false;
  std::vector<AgentEffect> effects;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_AGENT_CORE_AGENT_CORE_H_
