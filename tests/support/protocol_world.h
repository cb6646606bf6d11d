#ifndef DANDELIONSPUR_TESTS_SUPPORT_PROTOCOL_WORLD_H_
#define DANDELIONSPUR_TESTS_SUPPORT_PROTOCOL_WORLD_H_

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

// A fault put into the protocol on purpose, by tampering with messages or
// with the memory of a process. The oracle must catch each.
enum class DeliberateFault {
  kNone,
  // Agents take starts under any ballot.
  kSkipBallotCheck,
  // A home is told that its key is witnessed although nobody remembers it.
  kSkipWitness,
  // Agents answer a promise without their started sets.
  kForgetStartedSet,
  // Entries answer a promise without the keys that they know.
  kForgetWitnessedKeys,
  // A task is run again after a broken connection, whatever became of it.
  kRerunAfterBrokenConnection,
  // A refusal is confirmed by nobody.
  kRefuseUnconfirmed,
  // A restarted agent comes back under its old id with nothing remembered.
  kReuseAgentIncarnation,
  // A restarted entry comes back under its old id with nothing remembered.
  kReuseEntryIncarnation,
  // Results of two tasks are exchanged.
  kCrossAnswers,
  // An older document comes into force as if it were newer.
  kLowerVersion,
  // An agent that leaves says so to nobody and goes on.
  kIgnoreLeaving,
  // Agents give leases without having been heard by an entry.
  kConfirmUnheard,
  // Entries take the runs of a silent agent for over before its lease is.
  kLeaseOverTooSoon,
  // A restarted agent leaves running what its predecessor has started.
  kKeepStrangers,
  // Entries don't tell each other which agents they hear.
  kHideSightings,
};

// What becomes of messages between entries that are under way on a connection
// that breaks. kRead: half of the breaks leave them in the receiver's socket,
// where they are read sooner or later.
enum class InFlight { kLost, kRead };

struct WorldOptions {
  std::uint32_t entries = 3;
  std::uint32_t agents = 2;
  std::uint32_t buckets = 2;
  // Resubmissions are of one of the latest keys; 0: every submission has a key
  // of its own, so that what its one caller was told stands alone.
  std::uint32_t keys = 4;
  std::uint32_t tasks_per_job = 2;
  // How many of the faults in a script take place, in quarters.
  std::uint32_t intensity = 2;
  // kAfterLease: tasks fail now and then and may run again, but never twice at
  // once; upstreams end what has lost its lease; everybody may be lost.
  RerunPolicy rerun = RerunPolicy::kNever;
  InFlight in_flight = InFlight::kLost;
  DeliberateFault fault = DeliberateFault::kNone;
};

// What the upstream answers to a task.
Payload ResultOf(const TaskId& id);

// The real cores in a bag of messages, with a clock, a table and upstreams
// that exist only as numbers, and the oracle: a few counts of what happened.
class ProtocolWorld {
 public:
  explicit ProtocolWorld(const WorldOptions& configured);

  // Makes one step; the number decides which.
  void Step(std::uint32_t choice);
  // Ends all faults and lets time pass until every job has ended.
  void Settle();
  // The first broken promise; nothing while all hold.
  [[nodiscard]] const std::optional<std::string>& violation() const {
    return this->broken;
  }
  // What happened, a line a step.
  [[nodiscard]] std::string Log() const;
  [[nodiscard]] std::uint32_t starts() const { return this->start_count; }
  [[nodiscard]] std::uint32_t answers() const { return this->answer_count; }
  [[nodiscard]] std::uint32_t refusals() const { return this->refusal_count; }
  [[nodiscard]] std::uint32_t completes() const { return this->complete_count; }
  // Runs every entry's events through a new core and compares the effects.
  [[nodiscard]] bool ReplaysEqually() const;

 private:
  using Message = std::variant<PeerMessage, EntryToAgentMessage, AgentMessage>;
  // Entries and agents share one number space.
  using NodeId = std::uint64_t;
  using Link = std::pair<NodeId, NodeId>;
  // What one connection carries in one direction. What was sent before the
  // connection broke may still be read, also after what a later one carries.
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
    // The upstream ends it then.
    Timestamp lease_until;
  };
  struct Submission {
    NodeId entry = 0;
    JobKey key;
    bool answered = false;
    bool refused = false;
  };

  // Steps.
  void DeliverOne(std::uint32_t choice);
  void DeliverOutOfOrder(std::uint32_t choice);
  void Submit(std::uint32_t choice);
  void AdvanceTime(Duration step);
  // Ends the runs whose leases are over.
  void LapseLeases();
  // What an agent does at each tick while it may.
  void ExtendLeases(NodeId agent);
  void FinishTask(std::uint32_t choice);
  void PollTable(std::uint32_t choice);
  void KillEntry(std::uint32_t choice);
  void KillAgent(std::uint32_t choice);
  void RestartSomething(std::uint32_t choice);
  void FreezeOrThaw(std::uint32_t choice);
  void CutOrReconnect(std::uint32_t choice);
  void Cancel(std::uint32_t choice);
  void DrainOrLeave(std::uint32_t choice);
  void ApplyDocument();

  // The processes that are missing come back.
  void RestartAll();
  [[nodiscard]] bool HasLeases() const {
    return this->options.rerun == RerunPolicy::kAfterLease;
  }
  [[nodiscard]] EntryCoreSettings SettingsOf(NodeId entry) const;
  NodeId StartEntry(std::uint32_t slot);
  NodeId StartAgent(std::uint32_t slot);
  void JoinView(NodeId entry);
  void EndEntry(NodeId entry);
  void EndAgent(NodeId agent);
  void Thaw(NodeId node);
  void Connect(NodeId first, NodeId second);
  void Disconnect(NodeId first, NodeId second,
                  InFlight in_flight = InFlight::kLost);
  [[nodiscard]] bool IsAlive(NodeId node) const;
  [[nodiscard]] bool IsFrozen(NodeId node) const;
  [[nodiscard]] std::vector<NodeId> AliveEntries() const;
  [[nodiscard]] std::vector<NodeId> AliveAgents() const;
  void TellConnection(NodeId node, NodeId other, bool up);
  void TellDead(NodeId dead);

  void Post(NodeId from, NodeId to, Message message);
  // Puts a message on the connection that the two have now.
  void Carry(NodeId from, NodeId to, Message message);
  void Deliver(NodeId from, NodeId to, const Message& message);
  // Applies the deliberate fault to a message; false if it is swallowed.
  bool Tamper(NodeId from, NodeId to, Message& message);

  // For kConfirmUnheard, a start looks as if its sender had just heard the
  // agent.
  [[nodiscard]] AgentEvent TamperWithContact(AgentEvent event) const;
  void HandleEntry(NodeId id, const EntryEvent& event);
  void HandleAgent(NodeId id, const AgentEvent& event);
  void Apply(NodeId from, const EntryEffect& effect);
  void Apply(NodeId from, const AgentEffect& effect);
  void OnStart(NodeId agent, const RunOnUpstream& run);
  void OnAnswer(const AnswerCaller& answer);
  // Checks a refusal where and when it is decided.
  void NoteDecision(NodeId from, const SendToPeer& sent);
  // Fails where `home` calls a job not run that had been started when its
  // evidence was given. Between that and the decision, another home may have
  // started the job for another submission of its key.
  void CheckNeverStarted(NodeId home, const JobKey& key);
  // What had been started when a process confirmed a home's ballots.
  void NoteEvidence(NodeId home, const ConfirmReply& reply);
  // Adds a line to the log, with the time since the start.
  void Note(const std::string& line);
  void Fail(const std::string& what);
  [[nodiscard]] JobKey KeyOf(std::uint32_t number) const;

  WorldOptions options;
  Timestamp now;
  std::map<NodeId, Entry> entries;
  std::map<NodeId, Agent> agents;
  std::map<Channel, std::deque<Message>> channels;
  // The number of the connection that each link has now.
  std::map<Link, std::uint64_t> links;
  std::uint64_t last_connection = 0;
  View table_view;
  bool table_up = true;
  DocumentVersion table_version;
  std::vector<RunningTask> running;
  std::map<RequestId, Submission> submissions;
  std::map<TaskId, std::uint32_t> starts_of_task;
  struct Evidence {
    std::uint64_t sequence = 0;
    std::set<JobKey> started;
  };
  std::map<NodeId, Evidence> evidence;
  // The relaying entries that were told "not run", and of what.
  std::set<std::pair<NodeId, JobKey>> decided_refusals;
  NodeId last_node = 0;
  std::uint64_t last_request = 0;
  std::uint32_t key_count = 0;
  std::uint32_t start_count = 0;
  std::uint32_t answer_count = 0;
  std::uint32_t refusal_count = 0;
  std::uint32_t complete_count = 0;
  std::vector<std::string> log;
  std::optional<std::string> broken;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_TESTS_SUPPORT_PROTOCOL_WORLD_H_
