#include "libraries/agent_core/agent_core.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace dandelionspur {

AgentCore::AgentCore(const AgentCoreSettings& configured)
    : settings(configured),
      started(configured.started_set),
      promises(configured.bucket_count) {}

std::vector<AgentEffect> AgentCore::Handle(const AgentEvent& event,
                                           Timestamp now) {
  this->current_time = now;
  this->effects.clear();
  std::visit([this](const auto& alternative) { this->On(alternative); }, event);
  return std::move(this->effects);
}

void AgentCore::On(const UpstreamAnnounced& event) {
  this->description = event.description;
  this->description->agent = this->settings.self;
  this->ledger.SetSlots(event.description.slots);
  this->SendRegistrations();
}

void AgentCore::On(const EntryConnected& event) {
  this->connected.insert(event.entry);
  this->acknowledged.erase(event.entry);
  this->ledger.EntryJoined(event.entry);
  this->SendRegistrations();
}

void AgentCore::On(const EntryDisconnected& event) {
  this->connected.erase(event.entry);
  this->acknowledged.erase(event.entry);
  this->ledger.EntryLeft(event.entry);
  this->ShareCredits(EntryId());
}

void AgentCore::On(const EntryMessageReceived& event) {
  std::visit([&](const auto& message) { this->OnMessage(event.from, message); },
             event.message);
}

void AgentCore::On(const UpstreamEnded& event) {
  const auto runner = this->runners.find(event.task);
  if (runner == this->runners.end()) return;
  this->ledger.Release(runner->second);
  this->runners.erase(runner);
  const EntryId home =
      this->promises[this->BucketOfKey(event.task.key).value()].entry;
  const std::uint32_t credits = this->ShareCredits(home);
  if (event.result == UpstreamResult::kNotSent) {
    this->started.MarkNotRun(event.task);
    this->effects.emplace_back(
        StartRefusalCounted{Reason::kUpstreamUnreachable});
    this->Send(home, TaskNotRun{event.task, Reason::kUpstreamUnreachable,
                                Ballot(), credits});
    return;
  }
  TaskOutcome outcome = TaskOutcome::kUnknown;
  if (event.result == UpstreamResult::kSucceeded) {
    outcome = TaskOutcome::kSucceeded;
  }
  if (event.result == UpstreamResult::kFailed) outcome = TaskOutcome::kFailed;
  this->started.MarkFinished(event.task, outcome, event.body);
  // Built from the event, since the answer may already have been dropped.
  const TaskReport report{event.task, StartedState::kFinished, outcome,
                          event.body, true};
  this->Send(home, TaskFinished{report, event.elapsed, credits});
}

void AgentCore::On(const AgentViewRead& event) { this->AdoptView(event.view); }

void AgentCore::On(const LeaveRequested& /*event*/) {
  if (this->leaving) return;
  this->leaving = true;
  for (const EntryId entry : this->connected) {
    this->Send(entry, AgentLeaving{});
  }
}

void AgentCore::On(const AgentTick& /*event*/) {
  this->started.Expire(this->current_time);
  if (this->leaving && this->runners.empty() && !this->drained_reported) {
    this->drained_reported = true;
    this->effects.emplace_back(AgentDrained{});
  }
  if (this->current_time >= this->next_heartbeat) {
    this->next_heartbeat =
        this->current_time + this->settings.heartbeat_interval;
    const auto busy = static_cast<std::uint32_t>(this->runners.size());
    for (const EntryId entry : this->connected) {
      this->Send(entry, AgentHeartbeat{busy});
    }
  }
  if (this->current_time < this->next_registration) return;
  this->SendRegistrations();
}

void AgentCore::OnMessage(EntryId from, const RegisterAcknowledged& message) {
  for (const BucketBallot& promise : message.promises) {
    if (promise.bucket.value() >= this->promises.size()) continue;
    Ballot& mine = this->promises[promise.bucket.value()];
    mine = std::max(mine, promise.ballot);
  }
  this->AdoptView(message.view);
  if (message.view.epoch != this->view.epoch) return;
  if (!this->connected.contains(from)) return;
  this->acknowledged.insert(from);
  this->CheckReady();
}

void AgentCore::OnMessage(EntryId from, const PromiseRequest& message) {
  AgentPromiseReply reply;
  std::unordered_set<BucketId> granted;
  for (const BucketBallot& request : message.buckets) {
    if (request.bucket.value() >= this->promises.size()) continue;
    Ballot& mine = this->promises[request.bucket.value()];
    const bool grant = request.ballot >= mine && request.ballot.entry == from;
    if (grant) {
      mine = request.ballot;
      granted.insert(request.bucket);
    }
    reply.buckets.push_back({request.bucket, mine, grant});
  }
  reply.started = this->started.TasksOf(granted, this->settings.bucket_count);
  this->Send(from, std::move(reply));
}

void AgentCore::OnMessage(EntryId from, const Start& message) {
  this->ledger.SetDemand(from, message.queued);
  if (this->started.Contains(message.task)) {
    const TaskReport report = this->started.Report(message.task);
    if (report.state == StartedState::kFinished) {
      this->Send(from, TaskFinished{report, Duration(), 0});
    }
    return;
  }
  const std::optional<Reason> obstacle = this->StartObstacle(message);
  if (obstacle) {
    this->RefuseStart(from, message, *obstacle);
    return;
  }
  if (!this->ledger.Consume(from)) {
    this->RefuseStart(from, message, Reason::kNoFreeSlot);
    return;
  }
  this->started.Insert(message, this->current_time);
  Ballot& promised =
      this->promises[this->BucketOfKey(message.task.key).value()];
  promised = std::max(promised, message.ballot);
  this->runners.emplace(message.task, from);
  this->effects.emplace_back(
      RunOnUpstream{message.task, message.body, message.time_left});
}

void AgentCore::OnMessage(EntryId from, const Renounce& message) {
  if (!this->started.Contains(message.task)) {
    this->started.Forbid(message.task, message.ballot, message.attempt);
  }
  this->Send(from, RenounceReply{this->started.Report(message.task)});
}

void AgentCore::OnMessage(EntryId /*from*/, const StopTask& message) {
  if (!this->runners.contains(message.task)) return;
  this->effects.emplace_back(StopOnUpstream{message.task});
}

void AgentCore::OnMessage(EntryId from, const CreditRequest& message) {
  this->ledger.SetDemand(from, message.queued);
  const std::uint32_t credits = this->ShareCredits(from);
  if (credits > 0) {
    this->Send(from, CreditGrant{credits});
    return;
  }
  const std::optional<EntryId> holder = this->ledger.NextRecall();
  if (holder) this->Send(*holder, CreditRecall{});
}

void AgentCore::OnMessage(EntryId from, const CreditReturn& message) {
  this->ledger.Return(from, message.credits);
  this->ShareCredits(EntryId());
}

void AgentCore::OnMessage(EntryId from, const ConfirmRequest& message) {
  ConfirmReply reply;
  reply.sequence = message.sequence;
  for (const BucketBallot& asked : message.buckets) {
    if (asked.bucket.value() >= this->promises.size()) continue;
    const Ballot& mine = this->promises[asked.bucket.value()];
    if (mine <= asked.ballot) {
      reply.confirmed.push_back(asked.bucket);
    } else {
      reply.higher.push_back({asked.bucket, mine});
    }
  }
  this->Send(from, std::move(reply));
}

void AgentCore::AdoptView(const View& candidate) {
  if (candidate.epoch <= this->view.epoch) return;
  this->view = candidate;
  this->acknowledged.clear();
  this->effects.emplace_back(ConnectToMembers{this->view});
  this->SendRegistrations();
}

void AgentCore::SendRegistrations() {
  this->next_registration =
      this->current_time + this->settings.registration_interval;
  if (!this->description || this->view.epoch == Epoch()) return;
  for (const EntryId entry : this->connected) {
    if (this->acknowledged.contains(entry)) continue;
    this->Send(entry, Register{*this->description, this->view.epoch});
  }
}

void AgentCore::CheckReady() {
  for (const ViewMember& member : this->view.members) {
    if (!this->acknowledged.contains(member.entry)) return;
  }
  this->ready = true;
  for (const EntryId entry : this->acknowledged) {
    this->Send(entry, AgentReady{this->view.epoch});
    if (this->leaving) this->Send(entry, AgentLeaving{});
  }
  this->ShareCredits(EntryId());
}

std::optional<Reason> AgentCore::StartObstacle(const Start& start) const {
  if (start.agent != this->settings.self) return Reason::kWrongIncarnation;
  if (start.ballot <
      this->promises[this->BucketOfKey(start.task.key).value()]) {
    return Reason::kStaleBallot;
  }
  if (!this->ready) return Reason::kAgentNotReady;
  if (this->leaving) return Reason::kAgentLeaving;
  if (this->started.IsFull()) return Reason::kStartedSetFull;
  if (this->started.IsForbidden(start)) return Reason::kAttemptRefused;
  return std::nullopt;
}

void AgentCore::RefuseStart(EntryId to, const Start& start, Reason reason) {
  this->started.Forbid(start.task, start.ballot, start.attempt);
  this->effects.emplace_back(StartRefusalCounted{reason});
  // The entry spent a credit on this start, which is free again.
  this->ledger.Return(to, 1);
  const std::uint32_t credits = this->ShareCredits(to);
  const Ballot promised =
      this->promises[this->BucketOfKey(start.task.key).value()];
  this->Send(to, TaskNotRun{start.task, reason, promised, credits});
}

std::uint32_t AgentCore::ShareCredits(EntryId receiver) {
  if (!this->ready || this->leaving) return 0;
  std::uint32_t for_receiver = 0;
  for (const Grant& grant : this->ledger.Distribute(receiver)) {
    if (grant.entry == receiver) {
      for_receiver = grant.credits;
    } else {
      this->Send(grant.entry, CreditGrant{grant.credits});
    }
  }
  return for_receiver;
}

void AgentCore::Send(EntryId to, AgentMessage message) {
  if (!this->connected.contains(to)) return;
  this->effects.emplace_back(SendToEntry{to, std::move(message)});
}

BucketId AgentCore::BucketOfKey(const JobKey& key) const {
  return BucketOf(key, this->settings.bucket_count);
}

}  // namespace dandelionspur
