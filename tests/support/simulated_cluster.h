#ifndef DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLUSTER_H_
#define DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/agent_core/agent_core.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// A fault injected by altering messages, settings or the state of a process.
// The oracle of SimulatedCluster must detect each of them.
enum class DeliberateFault {
  kNone,
  // Agents accept starts under any ballot.
  kSkipBallotCheck,
  // A home receives a witness reply although no entry has recorded the key.
  kSkipWitness,
  // Agents leave their started sets out of their promise replies.
  kForgetStartedSet,
  // Entries leave their known keys out of their promise replies.
  kForgetWitnessedKeys,
  // A task is run again after a broken connection, whether or not the agent
  // has started it.
  kRerunAfterBrokenConnection,
  // Confirmations are forged, so that no other process confirms a refusal.
  kRefuseWithoutConfirmation,
  // A restarted agent reuses its former id but has lost its state.
  kReuseAgentIncarnation,
  // A restarted entry reuses its former id but has lost its state.
  kReuseEntryIncarnation,
  // A task's result is replaced by that of the first task of its job.
  kWrongResult,
  // Documents are pushed to peers under a version that is one too high, so that
  // an older text comes into force as if it were newer.
  kInflateDocumentVersion,
  // An agent that is asked to leave neither announces it nor stops.
  kIgnoreLeaveRequest,
  // Agents renew leases although no entry confirms their heartbeats.
  kRenewUnconfirmed,
  // Entries assume that the leases of an unresponsive agent have expired
  // before they have.
  kAssumeLeaseExpiredEarly,
  // A restarted agent does not stop the tasks that its predecessor started.
  kKeepPredecessorTasks,
  // Entries do not send each other their last contacts with agents.
  kHideSightings,
};

// What happens to messages between entries that are in flight on a connection
// when it breaks. kReadLater: half of the breaks leave them in the receiver's
// socket buffer, from which they are read at some later step.
enum class InFlightMessages { kLost, kReadLater };

struct SimulationOptions {
  std::uint32_t entries = 3;
  std::uint32_t agents = 2;
  std::uint32_t buckets = 2;
  // A resubmission uses one of this many latest keys. 0: every submission has
  // a key of its own, so that each key has a single caller and answer.
  std::uint32_t keys = 4;
  std::uint32_t tasks_per_job = 2;
  // The share of the fault steps that take effect, in quarters.
  std::uint32_t intensity = 2;
  // kAfterLease: tasks sometimes fail and may run again, but never twice at
  // the same time; upstreams end tasks whose lease has expired; all processes
  // may be lost at once.
  RerunPolicy rerun = RerunPolicy::kNever;
  InFlightMessages in_flight = InFlightMessages::kLost;
  DeliberateFault fault = DeliberateFault::kNone;
};

// The result that the upstream returns for a task.
Payload ResultOf(const TaskId& id);

// A deterministic simulation of a cluster. It runs the production entry and
// agent cores with a simulated network, clock, table and upstreams. Its oracle
// checks the guarantees of the protocol, such as that a job reported as not run
// has not been started.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(const SimulationOptions& configured);

  // Performs the simulation step that is derived from `choice`.
  void Step(std::uint32_t choice);
  // Clears all faults and advances time for long enough for every job to
  // complete.
  void RunToCompletion();
  // The first violation of a guarantee, if there was any.
  [[nodiscard]] const std::optional<std::string>& violation() const {
    return this->first_violation;
  }
  // The events of the simulation, one per line.
  [[nodiscard]] std::string Log() const;
  [[nodiscard]] std::uint32_t starts() const { return this->start_count; }
  [[nodiscard]] std::uint32_t answers() const { return this->answer_count; }
  [[nodiscard]] std::uint32_t refusals() const { return this->refusal_count; }
  [[nodiscard]] std::uint32_t complete_answers() const {
    return this->complete_count;
  }
  // Replays the events of every entry on a new core; false if any effect
  // differs.
  [[nodiscard]] bool ReplaysEqually() const;

 private:
  using Message = std::variant<PeerMessage, EntryToAgentMessage, AgentMessage>;
  // Entries and agents draw their ids from the same sequence.
  using NodeId = std::uint64_t;
  using Link = std::pair<NodeId, NodeId>;
  // One direction of one connection. Messages sent before the connection broke
  // may still be read, even after those of a later connection.
  struct Channel {
    NodeId from = 0;
    NodeId to = 0;
    std::uint64_t connection = 0;
    auto operator<=>(const Channel&) const = default;
  };

  struct RecordedEntryStep {
    EntryEvent event;
    Timestamp now;
    std::string effects;
  };
  struct Entry {
    std::unique_ptr<EntryCore> core;
    std::uint32_t slot = 0;
    bool alive = true;
    bool frozen = false;
    bool draining = false;
    std::deque<EntryEvent> deferred;
    DocumentVersion highest_document;
    std::vector<RecordedEntryStep> steps;
  };
  struct Agent {
    std::unique_ptr<AgentCore> core;
    std::uint32_t slot = 0;
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    std::deque<AgentEvent> deferred;
  };
  struct RunningTask {
    NodeId agent = 0;
    TaskId task;
    Payload body;
    // The time at which the upstream ends the task unless the lease is renewed.
    Timestamp lease_until;
  };
  struct Submission {
    NodeId entry = 0;
    JobKey key;
    bool answered = false;
    bool refused = false;
  };

  // The simulation steps.
  void DeliverOne(std::uint32_t choice);
  void DeliverOutOfOrder(std::uint32_t choice);
  void Submit(std::uint32_t choice);
  void AdvanceTime(Duration step);
  // Ends the tasks whose leases have expired.
  void ExpireLeases();
  // Extends the leases of the agent's tasks unless their renewal is suspended.
  void ExtendLeases(NodeId agent);
  void FinishTask(std::uint32_t choice);
  void PollTable(std::uint32_t choice);
  void KillEntry(std::uint32_t choice);
  void KillAgent(std::uint32_t choice);
  void RestartOne(std::uint32_t choice);
  void FreezeOrThaw(std::uint32_t choice);
  void CutOrReconnect(std::uint32_t choice);
  void Cancel(std::uint32_t choice);
  void DrainOrLeave(std::uint32_t choice);
  void ApplyDocument();

  // Restarts all processes that are down.
  void RestartAll();
  [[nodiscard]] bool HasLeases() const {
    return this->options.rerun == RerunPolicy::kAfterLease;
  }
  [[nodiscard]] EntryCoreSettings SettingsOf(NodeId entry) const;
  NodeId StartEntry(std::uint32_t slot);
  NodeId StartAgent(std::uint32_t slot);
  void JoinView(NodeId entry);
  void TerminateEntry(NodeId entry);
  void TerminateAgent(NodeId agent);
  void Thaw(NodeId node);
  void Connect(NodeId first, NodeId second);
  void Disconnect(NodeId first, NodeId second,
                  InFlightMessages in_flight = InFlightMessages::kLost);
  [[nodiscard]] bool IsAlive(NodeId node) const;
  [[nodiscard]] bool IsFrozen(NodeId node) const;
  [[nodiscard]] std::vector<NodeId> AliveEntries() const;
  [[nodiscard]] std::vector<NodeId> AliveAgents() const;
  void NotifyConnectionChange(NodeId node, NodeId other, bool up);
  void NotifyProvenDead(NodeId dead);

  void Send(NodeId from, NodeId to, Message message);
  // Appends a message to the current connection from `from` to `to`, which must
  // exist.
  void SendOnConnection(NodeId from, NodeId to, Message message);
  void Deliver(NodeId from, NodeId to, const Message& message);
  // Applies the deliberate fault to a message. Returns false if the message is
  // not to be sent.
  bool InjectFault(NodeId from, NodeId to, Message& message);

  // For kRenewUnconfirmed, sets the time of contact in a start to now, as
  // if the sender had just received a heartbeat from the agent.
  [[nodiscard]] AgentEvent InjectContactFault(AgentEvent event) const;
  void HandleEntry(NodeId id, const EntryEvent& event);
  void HandleAgent(NodeId id, const AgentEvent& event);
  void Apply(NodeId from, const EntryEffect& effect);
  void Apply(NodeId from, const AgentEffect& effect);
  void OnTaskStart(NodeId agent, const RunOnUpstream& run);
  void OnAnswer(const AnswerCaller& answer);
  // Logs the answer to a relay if `sent` is one. Checks that a job refused as
  // not run has not been started, and records the refusal.
  void RecordRelayAnswer(NodeId from, const SendToPeer& sent);
  // Reports a violation if `home` refuses a job as not run that had been
  // started when the ballots of `home` were last confirmed. Between the
  // confirmation and the refusal, another home may have started the job for
  // another submission of its key.
  void CheckNeverStarted(NodeId home, const JobKey& key);
  // Records the jobs that have been started when a process confirms the ballots
  // of `home`.
  void RecordStartedJobs(NodeId home, const ConfirmReply& reply);
  // Appends a line to the log, with the simulated time in ms.
  void AppendLog(const std::string& line);
  void Fail(const std::string& what);
  [[nodiscard]] JobKey KeyOf(std::uint32_t number) const;

  SimulationOptions options;
  Timestamp now;
  std::map<NodeId, Entry> entries;
  std::map<NodeId, Agent> agents;
  std::map<Channel, std::deque<Message>> channels;
  // The number of the current connection of each link.
  std::map<Link, std::uint64_t> links;
  std::uint64_t last_connection = 0;
  View table_view;
  bool table_up = true;
  DocumentVersion table_version;
  std::vector<RunningTask> running;
  std::map<RequestId, Submission> submissions;
  std::map<TaskId, std::uint32_t> starts_of_task;
  struct StartedJobs {
    std::uint64_t sequence = 0;
    std::set<JobKey> started;
  };
  std::map<NodeId, StartedJobs> started_at_confirmation;
  // The relaying entries that have been sent a refusal as not run, each with
  // the key of the job.
  std::set<std::pair<NodeId, JobKey>> decided_refusals;
  NodeId last_node = 0;
  std::uint64_t last_request = 0;
  std::uint32_t key_count = 0;
  std::uint32_t start_count = 0;
  std::uint32_t answer_count = 0;
  std::uint32_t refusal_count = 0;
  std::uint32_t complete_count = 0;
  std::vector<std::string> log;
  std::optional<std::string> first_violation;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_SIMULATED_CLUSTER_H_
