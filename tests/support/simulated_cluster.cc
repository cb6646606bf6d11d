#include "tests/support/simulated_cluster.h"

#include <algorithm>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

constexpr Duration kStartTime = std::chrono::seconds(1'000'000);
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kTimeAllowed = std::chrono::seconds(4);
// Covers every deadline with its grace period, and takeovers of buckets.
constexpr int kCompletionTicks = 400;
constexpr int kTicksPerPoll = 20;
// A lease of 1 s by a clock that is 2% slow, plus the time that the upstream
// takes to detect its expiry.
constexpr Duration kMaximumLease = std::chrono::milliseconds(1'170);
const char* const kService = "s";
const ServiceName kServiceName{kService};

std::string DocumentText() {
  return R"({"service": "s", "owner": "o", "maximum_queued_tasks": 5,)"
         R"( "maximum_deadline_ms": 60000})";
}

Payload BodyOf(const TaskId& id) {
  return Payload::FromBytes("body " + id.key.ToHex() +
                            std::to_string(id.task.value()));
}

template <typename T>
T& Pick(std::vector<T>& items, std::uint32_t choice) {
  return items[choice % items.size()];
}

}  // namespace

Payload ResultOf(const TaskId& id) {
  return Payload::FromBytes(id.key.ToHex() + "/" +
                            std::to_string(id.task.value()));
}

SimulatedCluster::SimulatedCluster(const SimulationOptions& configured)
    : options(configured), now(kStartTime) {
  for (std::uint32_t i = 0; i < this->options.entries; ++i) {
    this->StartEntry(i);
  }
  for (std::uint32_t i = 0; i < this->options.agents; ++i) {
    this->StartAgent(i);
  }
  this->ApplyDocument();
  // No fault occurs before the cluster is up.
  for (int i = 0; i < 3 * kTicksPerPoll; ++i) {
    while (!this->channels.empty()) this->DeliverOne(0);
    if (i % kTicksPerPoll == 0) {
      for (const NodeId entry : this->AliveEntries()) {
        this->HandleEntry(entry, ViewRead{this->table_view});
        this->HandleEntry(
            entry,
            DocumentRead{{kServiceName, this->table_version, DocumentText()}});
      }
    }
    this->AdvanceTime(kTick);
  }
}

void SimulatedCluster::Step(std::uint32_t choice) {
  if (this->first_violation) return;
  constexpr std::uint32_t kStepKinds = 128;
  const std::uint32_t kind = choice % kStepKinds;
  const std::uint32_t rest = choice / kStepKinds;
  // Faults have a low weight compared with deliveries; otherwise most processes
  // would be dead most of the time. The intensity varies the number of faults
  // between runs.
  if (kind < 62) {
    for (std::uint32_t i = 0; i <= rest % 12; ++i) {
      this->DeliverOne(rest / 12 + i);
    }
    return;
  }
  if (kind < 78) return this->Submit(rest);
  if (kind < 90) {
    const bool long_pause = rest % 16 == 0;
    return this->AdvanceTime(kTick * (long_pause ? 24 : 1 + rest % 4));
  }
  if (kind < 104) return this->FinishTask(rest);
  if (kind < 107) return this->PollTable(rest);
  constexpr std::uint32_t kIntensities = 4;
  if (rest % kIntensities >= this->options.intensity) return;
  const std::uint32_t fault_choice = rest / kIntensities;
  if (kind < 110) return this->DeliverOutOfOrder(fault_choice);
  if (kind < 113) return this->FreezeOrThaw(fault_choice);
  if (kind < 117) return this->CutOrReconnect(fault_choice);
  if (kind < 119) return this->KillEntry(fault_choice);
  if (kind < 120) return this->KillAgent(fault_choice);
  if (kind < 123) return this->RestartOne(fault_choice);
  if (kind < 124) return this->Cancel(fault_choice);
  if (kind < 125) return this->DrainOrLeave(fault_choice);
  if (kind < 126) {
    this->table_up = !this->table_up;
    return;
  }
  this->ApplyDocument();
}

void SimulatedCluster::RunToCompletion() {
  if (this->first_violation) return;
  this->AppendLog("faults cleared");
  this->table_up = true;
  for (auto& [id, entry] : this->entries) {
    if (!entry.alive) this->NotifyProvenDead(id);
  }
  for (auto& [id, agent] : this->agents) {
    if (!agent.alive) this->NotifyProvenDead(id);
  }
  for (const NodeId node : this->AliveEntries()) this->Thaw(node);
  for (const NodeId node : this->AliveAgents()) this->Thaw(node);
  if (this->HasLeases()) this->RestartAll();
  for (int i = 0; i < kCompletionTicks && !this->first_violation; ++i) {
    for (const NodeId entry : this->AliveEntries()) {
      for (const NodeId other : this->AliveEntries()) {
        if (entry < other) this->Connect(entry, other);
      }
      for (const NodeId agent : this->AliveAgents()) {
        this->Connect(entry, agent);
      }
      if (i % kTicksPerPoll == 0) this->PollTable(static_cast<uint32_t>(entry));
    }
    std::size_t deliveries = 0;
    constexpr std::size_t kMaximumDeliveries = 20'000;
    while (!this->channels.empty() && ++deliveries < kMaximumDeliveries) {
      this->DeliverOne(0);
    }
    while (!this->running.empty()) this->FinishTask(0);
    this->AdvanceTime(kTick);
  }
  if (this->first_violation) return;
  for (const auto& [request, submission] : this->submissions) {
    const bool pending =
        !submission.answered && this->IsAlive(submission.entry);
    if (pending) this->Fail("a request is never answered");
  }
}

std::string SimulatedCluster::Log() const {
  std::string text;
  for (const std::string& line : this->log) text += line + "\n";
  return text;
}

bool SimulatedCluster::ReplaysEqually() const {
  for (const auto& [id, entry] : this->entries) {
    EntryCore replay(this->SettingsOf(id));
    for (const RecordedEntryStep& step : entry.steps) {
      const std::vector<EntryEffect> effects =
          replay.Handle(step.event, step.now);
      if (RecordCodec::ToMessagePack(effects) != step.effects) return false;
    }
  }
  return true;
}

void SimulatedCluster::DeliverOne(std::uint32_t choice) {
  if (this->channels.empty()) return;
  auto position = this->channels.begin();
  std::advance(position, choice % this->channels.size());
  const Channel channel = position->first;
  if (this->IsAlive(channel.to) && this->IsFrozen(channel.to)) return;
  const Message message = position->second.front();
  position->second.pop_front();
  if (position->second.empty()) this->channels.erase(position);
  this->Deliver(channel.from, channel.to, message);
}

void SimulatedCluster::DeliverOutOfOrder(std::uint32_t choice) {
  if (this->channels.empty()) return;
  auto position = this->channels.begin();
  std::advance(position, choice % this->channels.size());
  const Channel channel = position->first;
  if (this->IsFrozen(channel.to)) return;
  // Delivers a copy and leaves the message in the channel, so that it is also
  // duplicated.
  const Message message =
      position->second[(choice / 7) % position->second.size()];
  this->Deliver(channel.from, channel.to, message);
}

void SimulatedCluster::Submit(std::uint32_t choice) {
  std::vector<NodeId> alive = this->AliveEntries();
  if (alive.empty()) return;
  const NodeId entry = Pick(alive, choice);
  if (this->IsFrozen(entry)) return;
  // Uses a new key or resubmits one of the latest.
  const bool is_new =
      (choice / 16) % 3 == 0 || this->key_count == 0 || this->options.keys == 0;
  if (is_new) ++this->key_count;
  const std::uint32_t window = std::min(this->options.keys, this->key_count);
  const std::uint32_t number =
      is_new ? this->key_count - 1
             : this->key_count - 1 - (choice / 64) % window;
  JobSubmission job;
  job.key = this->KeyOf(number);
  job.service = kServiceName;
  job.client_account = ClientAccount("t");
  job.time_allowed = kTimeAllowed;
  job.body_digest = number;
  job.rerun = this->options.rerun;
  job.maximum_attempts = this->HasLeases() ? 3 : 1;
  // Half of the keys carry their time of creation.
  if (number % 2 == 0) job.created = Timestamp(std::chrono::seconds(999'999));
  for (std::uint32_t i = 0; i < this->options.tasks_per_job; ++i) {
    job.tasks.push_back({BodyOf({job.key, TaskIndex(i)}),
                         std::chrono::milliseconds(100), kOneSlot});
  }
  const RequestId request(++this->last_request);
  this->submissions[request] = {entry, job.key, false, false};
  this->AppendLog("submit key " + std::to_string(number) + " at entry " +
                  std::to_string(entry));
  this->HandleEntry(entry, CallerSubmitted{request, job});
}

void SimulatedCluster::AdvanceTime(Duration step) {
  this->now += step;
  this->ExpireLeases();
  for (const NodeId entry : this->AliveEntries()) {
    if (!this->IsFrozen(entry)) this->HandleEntry(entry, EntryTick{});
  }
  for (const NodeId agent : this->AliveAgents()) {
    if (this->IsFrozen(agent)) continue;
    this->HandleAgent(agent, AgentTick{});
    this->ExtendLeases(agent);
  }
}

void SimulatedCluster::ExpireLeases() {
  if (!this->HasLeases()) return;
  std::vector<RunningTask> expired;
  std::erase_if(this->running, [&](const RunningTask& task) {
    if (task.lease_until > this->now) return false;
    expired.push_back(task);
    return true;
  });
  for (const RunningTask& task : expired) {
    this->AppendLog("the lease of task " +
                    std::to_string(task.task.task.value()) + " of " +
                    task.task.key.ToHex().substr(0, 4) + " has expired");
    if (!this->IsAlive(task.agent)) continue;
    this->HandleAgent(task.agent,
                      UpstreamTaskCompleted{task.task, UpstreamResult::kBroken,
                                            Payload(), Duration()});
  }
}

void SimulatedCluster::ExtendLeases(NodeId agent) {
  if (!this->IsAlive(agent)) return;
  const LeaseRenewal renewal =
      this->agents.at(agent).core->RenewalAt(this->now);
  if (renewal == LeaseRenewal::kSuspended) return;
  for (RunningTask& task : this->running) {
    if (task.agent == agent) task.lease_until = this->now + kMaximumLease;
  }
}

void SimulatedCluster::FinishTask(std::uint32_t choice) {
  if (this->running.empty()) return;
  const std::size_t index = choice % this->running.size();
  const RunningTask task = this->running[index];
  this->running.erase(this->running.begin() +
                      static_cast<std::ptrdiff_t>(index));
  if (!this->IsAlive(task.agent)) return;
  constexpr std::uint32_t kFailureEvery = 16;
  const bool fails = (choice / 32) % kFailureEvery == 1;
  const UpstreamResult failure =
      this->HasLeases() ? UpstreamResult::kFailed : UpstreamResult::kBroken;
  this->HandleAgent(task.agent,
                    UpstreamTaskCompleted{
                        task.task, fails ? failure : UpstreamResult::kSucceeded,
                        ResultOf(task.task), std::chrono::milliseconds(100)});
}

void SimulatedCluster::PollTable(std::uint32_t choice) {
  std::vector<NodeId> alive = this->AliveEntries();
  if (!this->table_up || alive.empty()) return;
  const NodeId entry = Pick(alive, choice);
  if (this->IsFrozen(entry)) return;
  this->HandleEntry(entry, ViewRead{this->table_view});
  this->HandleEntry(
      entry, DocumentRead{{kServiceName, this->table_version, DocumentText()}});
  if (this->IsAlive(entry) && !this->entries.at(entry).draining &&
      this->entries.at(entry).core->view().Find(EntryId(entry)) == nullptr) {
    this->JoinView(entry);
  }
}

void SimulatedCluster::KillEntry(std::uint32_t choice) {
  std::vector<NodeId> alive = this->AliveEntries();
  const std::size_t least = this->HasLeases() ? 1 : 2;
  if (alive.size() < least) return;
  this->TerminateEntry(Pick(alive, choice));
  // Some of the steps end all processes at once.
  constexpr std::uint32_t kAllEvery = 8;
  if (!this->HasLeases() || (choice / 8) % kAllEvery != 0) return;
  for (const NodeId entry : this->AliveEntries()) this->TerminateEntry(entry);
  for (const NodeId agent : this->AliveAgents()) this->TerminateAgent(agent);
}

void SimulatedCluster::KillAgent(std::uint32_t choice) {
  std::vector<NodeId> alive = this->AliveAgents();
  const std::size_t least = this->HasLeases() ? 1 : 2;
  if (alive.size() < least) return;
  this->TerminateAgent(Pick(alive, choice));
}

void SimulatedCluster::RestartOne(std::uint32_t choice) {
  const bool reuse_agent =
      this->options.fault == DeliberateFault::kReuseAgentIncarnation;
  const bool reuse_entry =
      this->options.fault == DeliberateFault::kReuseEntryIncarnation;
  for (std::uint32_t slot = 0; slot < this->options.entries; ++slot) {
    const std::uint32_t wanted = (slot + choice) % this->options.entries;
    const bool taken = std::any_of(
        this->entries.begin(), this->entries.end(), [&](const auto& item) {
          return item.second.alive && item.second.slot == wanted;
        });
    if (taken) continue;
    if (reuse_entry) {
      for (auto& [id, entry] : this->entries) {
        if (entry.alive || entry.slot != wanted) continue;
        entry = Entry();
        entry.core = std::make_unique<EntryCore>(this->SettingsOf(id));
        entry.slot = wanted;
        this->AppendLog("entry " + std::to_string(id) + " restarts, id reused");
        this->HandleEntry(id, ViewRead{this->table_view});
        return;
      }
    }
    this->StartEntry(wanted);
    return;
  }
  for (std::uint32_t slot = 0; slot < this->options.agents; ++slot) {
    const bool taken = std::any_of(
        this->agents.begin(), this->agents.end(), [&](const auto& item) {
          return item.second.alive && item.second.slot == slot;
        });
    if (taken) continue;
    if (reuse_agent) {
      for (auto& [id, agent] : this->agents) {
        if (agent.alive || agent.slot != slot) continue;
        AgentCoreSettings settings;
        settings.self = AgentId(id);
        settings.bucket_count = this->options.buckets;
        agent = Agent();
        agent.core = std::make_unique<AgentCore>(settings);
        agent.slot = slot;
        AgentDescription description;
        description.service = kServiceName;
        description.capacity = kOneSlot + kOneSlot;
        description.admin_endpoint.port =
            static_cast<std::uint16_t>(1000 + slot);
        this->AppendLog("agent " + std::to_string(id) + " restarts, id reused");
        this->HandleAgent(id, UpstreamAnnounced{description});
        this->HandleAgent(id, AgentViewRead{this->table_view});
        return;
      }
    }
    this->StartAgent(slot);
    return;
  }
}

void SimulatedCluster::RestartAll() {
  const std::uint32_t processes = this->options.entries + this->options.agents;
  for (std::uint32_t i = 0; i < processes; ++i) this->RestartOne(0);
}

void SimulatedCluster::FreezeOrThaw(std::uint32_t choice) {
  std::vector<NodeId> nodes = this->AliveEntries();
  for (const NodeId agent : this->AliveAgents()) nodes.push_back(agent);
  if (nodes.empty()) return;
  // Usually thaws a frozen process, if there is one, before it freezes another,
  // so that most freezes are short.
  for (const NodeId candidate : nodes) {
    if (!this->IsFrozen(candidate) || choice % 3 == 0) continue;
    this->Thaw(candidate);
    return;
  }
  const NodeId node = Pick(nodes, choice);
  this->AppendLog("freeze " + std::to_string(node));
  const auto entry = this->entries.find(node);
  if (entry != this->entries.end()) {
    entry->second.frozen = true;
  } else {
    this->agents.at(node).frozen = true;
  }
}

void SimulatedCluster::CutOrReconnect(std::uint32_t choice) {
  std::vector<NodeId> alive_entries = this->AliveEntries();
  std::vector<NodeId> nodes = alive_entries;
  for (const NodeId agent : this->AliveAgents()) nodes.push_back(agent);
  if (alive_entries.empty()) return;
  const NodeId first = Pick(alive_entries, choice);
  const NodeId second = Pick(nodes, choice / 8);
  if (first == second) return;
  if (!this->links.contains(std::minmax(first, second))) {
    this->Connect(first, second);
    return;
  }
  // An agent opens a new connection only once it has read all messages of the
  // previous one.
  const bool both_entries = this->entries.contains(second);
  const bool may_be_read = both_entries && (choice / 256) % 2 == 0;
  this->Disconnect(
      first, second,
      may_be_read ? this->options.in_flight : InFlightMessages::kLost);
  // Three quarters of the cuts are followed by an immediate reconnection.
  if ((choice / 64) % 4 != 0) this->Connect(first, second);
}

void SimulatedCluster::Cancel(std::uint32_t choice) {
  std::vector<NodeId> alive = this->AliveEntries();
  if (alive.empty()) return;
  const NodeId entry = Pick(alive, choice);
  if (this->IsFrozen(entry)) return;
  if (this->key_count == 0) return;
  const JobKey key = this->KeyOf((choice / 8) % this->key_count);
  this->HandleEntry(entry, CallerCancelled{key});
}

void SimulatedCluster::DrainOrLeave(std::uint32_t choice) {
  if (choice % 2 == 0) {
    std::vector<NodeId> alive = this->AliveEntries();
    if (alive.size() < 3) return;
    const NodeId entry = Pick(alive, choice / 2);
    if (this->IsFrozen(entry)) return;
    this->AppendLog("drain entry " + std::to_string(entry));
    this->entries.at(entry).draining = true;
    this->HandleEntry(entry, DrainRequested{});
    return;
  }
  std::vector<NodeId> alive = this->AliveAgents();
  if (alive.size() < 2) return;
  const NodeId agent = Pick(alive, choice / 2);
  if (this->IsFrozen(agent)) return;
  this->agents.at(agent).leaving = true;
  if (this->options.fault == DeliberateFault::kIgnoreLeaveRequest) return;
  this->HandleAgent(agent, LeaveRequested{});
}

void SimulatedCluster::ApplyDocument() {
  if (!this->table_up) return;
  this->table_version = DocumentVersion(this->table_version.value() + 1);
}

EntryCoreSettings SimulatedCluster::SettingsOf(NodeId entry) const {
  EntryCoreSettings settings;
  settings.self = EntryId(entry);
  settings.bucket_count = this->options.buckets;
  if (this->options.fault == DeliberateFault::kAssumeLeaseExpiredEarly) {
    settings.lease_over_after = kMaximumLease / 4;
  }
  return settings;
}

SimulatedCluster::NodeId SimulatedCluster::StartEntry(std::uint32_t slot) {
  const NodeId id = ++this->last_node;
  Entry& entry = this->entries[id];
  entry.core = std::make_unique<EntryCore>(this->SettingsOf(id));
  entry.slot = slot;
  this->AppendLog("entry " + std::to_string(id) + " starts");
  this->JoinView(id);
  if (this->table_up) this->HandleEntry(id, ViewRead{this->table_view});
  return id;
}

void SimulatedCluster::JoinView(NodeId entry) {
  if (!this->table_up) return;
  ViewMember member;
  member.entry = EntryId(entry);
  member.peer_endpoint.port =
      static_cast<std::uint16_t>(1 + this->entries.at(entry).slot);
  this->table_view = WithMember(this->table_view, member, this->now);
  this->AppendLog("view " + std::to_string(this->table_view.epoch.value()) +
                  " with entry " + std::to_string(entry));
}

SimulatedCluster::NodeId SimulatedCluster::StartAgent(std::uint32_t slot) {
  const NodeId id = ++this->last_node;
  // A new agent stops the tasks of its predecessors before it registers.
  const bool stops =
      this->HasLeases() &&
      this->options.fault != DeliberateFault::kKeepPredecessorTasks;
  if (stops) {
    std::erase_if(this->running, [&](const RunningTask& task) {
      return this->agents.at(task.agent).slot == slot;
    });
  }
  AgentCoreSettings settings;
  settings.self = AgentId(id);
  settings.bucket_count = this->options.buckets;
  Agent& agent = this->agents[id];
  agent.core = std::make_unique<AgentCore>(settings);
  agent.slot = slot;
  AgentDescription description;
  description.service = kServiceName;
  description.capacity = kOneSlot + kOneSlot;
  description.admin_endpoint.port = static_cast<std::uint16_t>(1000 + slot);
  this->AppendLog("agent " + std::to_string(id) + " starts");
  this->HandleAgent(id, UpstreamAnnounced{description});
  if (this->table_up) this->HandleAgent(id, AgentViewRead{this->table_view});
  return id;
}

void SimulatedCluster::TerminateEntry(NodeId id) {
  Entry& entry = this->entries.at(id);
  this->AppendLog("entry " + std::to_string(id) + " ends");
  entry.alive = false;
  entry.deferred.clear();
  for (auto& [other, unused] : this->entries) this->Disconnect(id, other);
  for (auto& [other, unused] : this->agents) this->Disconnect(id, other);
}

void SimulatedCluster::TerminateAgent(NodeId id) {
  Agent& agent = this->agents.at(id);
  this->AppendLog("agent " + std::to_string(id) + " ends");
  agent.alive = false;
  agent.deferred.clear();
  for (auto& [other, unused] : this->entries) this->Disconnect(id, other);
  if (id % 2 == 0) this->NotifyProvenDead(id);
}

void SimulatedCluster::NotifyProvenDead(NodeId dead) {
  if (this->options.fault == DeliberateFault::kReuseAgentIncarnation ||
      this->options.fault == DeliberateFault::kReuseEntryIncarnation) {
    return;
  }
  for (const NodeId entry : this->AliveEntries()) {
    if (this->entries.contains(dead)) {
      this->HandleEntry(entry, PeerProvenDead{EntryId(dead)});
    } else {
      this->HandleEntry(entry, AgentProvenDead{AgentId(dead)});
    }
  }
}

void SimulatedCluster::Thaw(NodeId node) {
  const auto found = this->entries.find(node);
  if (found != this->entries.end()) {
    found->second.frozen = false;
    std::deque<EntryEvent> events;
    events.swap(found->second.deferred);
    for (const EntryEvent& event : events) this->HandleEntry(node, event);
    return;
  }
  Agent& agent = this->agents.at(node);
  this->AppendLog("agent " + std::to_string(node) + " thaws");
  agent.frozen = false;
  std::deque<AgentEvent> events;
  events.swap(agent.deferred);
  for (const AgentEvent& event : events) this->HandleAgent(node, event);
}

void SimulatedCluster::Connect(NodeId first, NodeId second) {
  if (!this->IsAlive(first) || !this->IsAlive(second)) return;
  const Link link = std::minmax(first, second);
  if (this->links.contains(link)) return;
  this->links[link] = ++this->last_connection;
  this->NotifyConnectionChange(first, second, true);
  this->NotifyConnectionChange(second, first, true);
}

void SimulatedCluster::Disconnect(NodeId first, NodeId second,
                                  InFlightMessages in_flight) {
  const auto link = this->links.find(std::minmax(first, second));
  if (link == this->links.end()) return;
  if (in_flight == InFlightMessages::kLost) {
    this->channels.erase({first, second, link->second});
    this->channels.erase({second, first, link->second});
  }
  this->links.erase(link);
  this->NotifyConnectionChange(first, second, false);
  this->NotifyConnectionChange(second, first, false);
}

void SimulatedCluster::NotifyConnectionChange(NodeId node, NodeId other,
                                              bool up) {
  if (!this->IsAlive(node)) return;
  const bool other_is_entry = this->entries.contains(other);
  if (!this->entries.contains(node)) {
    if (up) {
      this->HandleAgent(node, EntryConnected{EntryId(other)});
    } else {
      this->HandleAgent(node, EntryDisconnected{EntryId(other)});
    }
    return;
  }
  EntryEvent event;
  if (other_is_entry) {
    if (up) {
      event = PeerConnected{EntryId(other)};
    } else {
      event = PeerDisconnected{EntryId(other)};
    }
  } else {
    if (up) {
      event = AgentConnected{AgentId(other)};
    } else {
      event = AgentDisconnected{AgentId(other)};
    }
  }
  this->HandleEntry(node, event);
}

bool SimulatedCluster::IsAlive(NodeId node) const {
  const auto entry = this->entries.find(node);
  if (entry != this->entries.end()) return entry->second.alive;
  const auto agent = this->agents.find(node);
  return agent != this->agents.end() && agent->second.alive;
}

bool SimulatedCluster::IsFrozen(NodeId node) const {
  const auto entry = this->entries.find(node);
  if (entry != this->entries.end()) return entry->second.frozen;
  const auto agent = this->agents.find(node);
  return agent != this->agents.end() && agent->second.frozen;
}

std::vector<SimulatedCluster::NodeId> SimulatedCluster::AliveEntries() const {
  std::vector<NodeId> alive;
  for (const auto& [id, entry] : this->entries) {
    if (entry.alive) alive.push_back(id);
  }
  return alive;
}

std::vector<SimulatedCluster::NodeId> SimulatedCluster::AliveAgents() const {
  std::vector<NodeId> alive;
  for (const auto& [id, agent] : this->agents) {
    if (agent.alive) alive.push_back(id);
  }
  return alive;
}

void SimulatedCluster::Send(NodeId from, NodeId to, Message message) {
  if (!this->links.contains(std::minmax(from, to))) return;
  if (!this->InjectFault(from, to, message)) return;
  this->SendOnConnection(from, to, std::move(message));
}

void SimulatedCluster::SendOnConnection(NodeId from, NodeId to,
                                        Message message) {
  const std::uint64_t connection = this->links.at(std::minmax(from, to));
  this->channels[{from, to, connection}].push_back(std::move(message));
}

void SimulatedCluster::Deliver(NodeId from, NodeId to, const Message& message) {
  if (!this->IsAlive(to)) return;
  if (const auto* peer = std::get_if<PeerMessage>(&message)) {
    this->HandleEntry(to, PeerMessageReceived{EntryId(from), *peer});
  } else if (const auto* agent = std::get_if<AgentMessage>(&message)) {
    this->HandleEntry(to, AgentMessageReceived{AgentId(from), *agent});
  } else {
    this->HandleAgent(
        to, EntryMessageReceived{EntryId(from),
                                 std::get<EntryToAgentMessage>(message)});
  }
}

void SimulatedCluster::HandleEntry(NodeId id, const EntryEvent& event) {
  Entry& entry = this->entries.at(id);
  if (!entry.alive || this->first_violation) return;
  if (entry.frozen) {
    entry.deferred.push_back(event);
    return;
  }
  const std::vector<EntryEffect> effects = entry.core->Handle(event, this->now);
  entry.steps.push_back(
      {event, this->now, RecordCodec::ToMessagePack(effects)});
  for (const EntryEffect& effect : effects) {
    if (entry.alive) this->Apply(id, effect);
  }
}

void SimulatedCluster::HandleAgent(NodeId id, const AgentEvent& event) {
  Agent& agent = this->agents.at(id);
  if (!agent.alive || this->first_violation) return;
  if (agent.frozen) {
    agent.deferred.push_back(event);
    return;
  }
  if (this->options.fault == DeliberateFault::kRenewUnconfirmed) {
    const EntryHeartbeat heard{this->now};
    agent.core->Handle(EntryMessageReceived{EntryId(), heard}, this->now);
  }
  const std::vector<AgentEffect> effects =
      agent.core->Handle(this->InjectContactFault(event), this->now);
  for (const AgentEffect& effect : effects) {
    if (agent.alive) this->Apply(id, effect);
  }
}

AgentEvent SimulatedCluster::InjectContactFault(AgentEvent event) const {
  if (this->options.fault != DeliberateFault::kRenewUnconfirmed) return event;
  auto* received = std::get_if<EntryMessageReceived>(&event);
  if (received == nullptr) return event;
  if (auto* start = std::get_if<Start>(&received->message)) {
    start->contact = this->now;
  }
  return event;
}

void SimulatedCluster::Apply(NodeId from, const EntryEffect& effect) {
  if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
    this->OnAnswer(*answer);
  } else if (const auto* peer = std::get_if<SendToPeer>(&effect)) {
    this->RecordRelayAnswer(from, *peer);
    if (const auto* reply = std::get_if<ConfirmReply>(&peer->message)) {
      this->RecordStartedJobs(peer->to.value(), *reply);
    }
    this->Send(from, peer->to.value(), peer->message);
  } else if (const auto* agent = std::get_if<SendToAgent>(&effect)) {
    this->Send(from, agent->to.value(), agent->message);
  } else if (const auto* proposal = std::get_if<ProposeView>(&effect)) {
    const bool follows =
        proposal->view.epoch.value() == this->table_view.epoch.value() + 1;
    if (!this->table_up || !follows) return;
    this->table_view = proposal->view;
    this->AppendLog("view " + std::to_string(this->table_view.epoch.value()) +
                    " by entry " + std::to_string(from));
  } else if (const auto* view = std::get_if<ViewInForce>(&effect)) {
    for (const ViewMember& member : view->view.members) {
      if (member.entry.value() != from) {
        this->Connect(from, member.entry.value());
      }
    }
  } else if (const auto* retried = std::get_if<RetryCounted>(&effect)) {
    this->AppendLog("entry " + std::to_string(from) + " queues task " +
                    std::to_string(retried->task.task.value()) + " of " +
                    retried->task.key.ToHex().substr(0, 4) +
                    " again: " + std::string(ReasonName(retried->reason)));
  } else if (const auto* owned = std::get_if<OwnershipChanged>(&effect)) {
    for (const BucketBallot& bucket : owned->buckets) {
      this->AppendLog("entry " + std::to_string(from) +
                      (owned->phase == OwnershipPhase::kActive
                           ? " is home of bucket "
                           : " asks for bucket ") +
                      std::to_string(bucket.bucket.value()) + " under ballot " +
                      std::to_string(bucket.ballot.epoch.value()) + "." +
                      std::to_string(bucket.ballot.round));
    }
  } else if (const auto* document = std::get_if<DocumentInForce>(&effect)) {
    DocumentVersion& highest = this->entries.at(from).highest_document;
    if (document->document.version <= highest ||
        document->document.version > this->table_version) {
      this->Fail("a document version fell or was never written");
    }
    highest = document->document.version;
  } else if (std::holds_alternative<RemovedFromView>(effect) ||
             std::holds_alternative<EntryDrained>(effect)) {
    for (const auto& [request, submission] : this->submissions) {
      const bool cut = std::holds_alternative<EntryDrained>(effect) &&
                       submission.entry == from && !submission.answered;
      if (cut) this->Fail("drained with a request pending");
    }
    this->TerminateEntry(from);
  }
}

void SimulatedCluster::RecordRelayAnswer(NodeId from, const SendToPeer& sent) {
  const auto* answer = std::get_if<RelayAnswer>(&sent.message);
  if (answer == nullptr) return;
  this->AppendLog("entry " + std::to_string(from) + " answers entry " +
                  std::to_string(sent.to.value()) + " for " +
                  answer->key.ToHex().substr(0, 4) + ": " +
                  std::string(VerdictName(answer->answer.verdict)) + " " +
                  std::string(ReasonName(answer->answer.reason)));
  if (answer->answer.verdict != Verdict::kNotRun) return;
  this->CheckNeverStarted(from, answer->key);
  this->decided_refusals.emplace(sent.to.value(), answer->key);
}

void SimulatedCluster::RecordStartedJobs(NodeId home,
                                         const ConfirmReply& reply) {
  StartedJobs& confirmed = this->started_at_confirmation[home];
  // Of the two replies with the same sequence number, the first one counts.
  if (reply.sequence <= confirmed.sequence) return;
  confirmed = {reply.sequence, {}};
  for (const auto& [task, count] : this->starts_of_task) {
    if (count > 0) confirmed.started.insert(task.key);
  }
}

void SimulatedCluster::CheckNeverStarted(NodeId home, const JobKey& key) {
  // With leases, the refusal covers only this submission; an earlier one of the
  // same key may have run. OnTaskStart detects starts after the refusal.
  if (this->HasLeases()) return;
  const auto confirmed = this->started_at_confirmation.find(home);
  const bool started_since = confirmed != this->started_at_confirmation.end() &&
                             !confirmed->second.started.contains(key);
  if (started_since) return;
  for (const auto& [task, count] : this->starts_of_task) {
    if (task.key == key && count > 0) {
      this->Fail("a job that was started is refused as not run");
    }
  }
}

void SimulatedCluster::Apply(NodeId from, const AgentEffect& effect) {
  if (const auto* sent = std::get_if<SendToEntry>(&effect)) {
    if (const auto* reply = std::get_if<ConfirmReply>(&sent->message)) {
      this->RecordStartedJobs(sent->to.value(), *reply);
    }
    this->Send(from, sent->to.value(), sent->message);
  } else if (const auto* run = std::get_if<RunOnUpstream>(&effect)) {
    this->OnTaskStart(from, *run);
  } else if (const auto* connect = std::get_if<ConnectToMembers>(&effect)) {
    for (const ViewMember& member : connect->view.members) {
      this->Connect(member.entry.value(), from);
    }
  } else if (std::holds_alternative<AgentDrained>(effect)) {
    this->TerminateAgent(from);
  }
}

void SimulatedCluster::OnTaskStart(NodeId agent, const RunOnUpstream& run) {
  this->AppendLog("agent " + std::to_string(agent) + " starts task " +
                  std::to_string(run.task.task.value()) + " of " +
                  run.task.key.ToHex().substr(0, 4));
  // The upstream is unreachable for one in 13 starts.
  constexpr std::uint32_t kUnreachableEvery = 13;
  if ((this->start_count + this->last_request) % kUnreachableEvery == 5) {
    ++this->start_count;
    this->HandleAgent(agent,
                      UpstreamTaskCompleted{run.task, UpstreamResult::kNotSent,
                                            Payload(), Duration()});
    return;
  }
  ++this->start_count;
  const bool still_runs = std::any_of(
      this->running.begin(), this->running.end(),
      [&](const RunningTask& other) { return other.task == run.task; });
  if (still_runs) this->Fail("a task runs twice at the same time");
  if (++this->starts_of_task[run.task] > 1 && !this->HasLeases()) {
    this->Fail("task " + std::to_string(run.task.task.value()) + " of " +
               run.task.key.ToHex().substr(0, 4) + " started twice");
  }
  if (this->agents.at(agent).leaving) this->Fail("a leaving agent starts");
  if (!(run.body == BodyOf(run.task))) this->Fail("a task has a wrong body");
  const bool wanted = std::any_of(
      this->submissions.begin(), this->submissions.end(),
      [&](const auto& item) {
        return item.second.key == run.task.key && !item.second.refused;
      });
  if (!wanted) this->Fail("a refused submission starts");
  this->running.push_back(
      {agent, run.task, run.body, this->now + kMaximumLease});
}

void SimulatedCluster::OnAnswer(const AnswerCaller& answer) {
  Submission& submission = this->submissions.at(answer.request);
  if (submission.answered) this->Fail("a request is answered twice");
  submission.answered = true;
  ++this->answer_count;
  this->AppendLog("request " + std::to_string(answer.request.value()) +
                  " for " + answer.key.ToHex().substr(0, 4) + " at entry " +
                  std::to_string(submission.entry) + ": " +
                  std::string(VerdictName(answer.answer.verdict)) + " " +
                  std::string(ReasonName(answer.answer.reason)));
  if (answer.answer.verdict == Verdict::kNotRun) {
    submission.refused = true;
    ++this->refusal_count;
    // RecordRelayAnswer has checked a refusal that the home decided. By the
    // time it reaches the caller, the home may have started the job for a
    // submission accepted later.
    const bool decided_elsewhere =
        this->decided_refusals.contains({submission.entry, submission.key});
    if (!decided_elsewhere) {
      this->CheckNeverStarted(submission.entry, submission.key);
    }
  }
  if (answer.answer.reason != Reason::kComplete) return;
  ++this->complete_count;
  const std::vector<Payload>& results = answer.answer.results;
  if (results.size() != this->options.tasks_per_job) {
    this->Fail("a complete answer lacks results");
    return;
  }
  for (std::uint32_t i = 0; i < results.size(); ++i) {
    if (!(results[i] == ResultOf({submission.key, TaskIndex(i)}))) {
      this->Fail("an answer has another task's result");
    }
  }
}

void SimulatedCluster::AppendLog(const std::string& line) {
  const auto since_start =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->now.time_since_epoch() - kStartTime);
  this->log.push_back(std::to_string(since_start.count()) + " ms: " + line);
}

void SimulatedCluster::Fail(const std::string& what) {
  if (this->first_violation) return;
  this->first_violation = what;
  this->AppendLog("VIOLATION: " + what);
}

JobKey SimulatedCluster::KeyOf(std::uint32_t number) const {
  return JobKey::FromText(kServiceName, "key-" + std::to_string(number));
}

}  // namespace dandelionspur
