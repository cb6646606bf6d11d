#include "libraries/entry_core/cancellations.h"

#include <algorithm>
#include <limits>

namespace dandelionspur {
namespace {

// A caller gives up after some seconds, and may repeat the cancelling.
constexpr Duration kAnswerWithin = std::chrono::seconds(3);

}  // namespace

Cancellations::Cancellations(const EntryCoreSettings& configured,
                             Ownership& owner, const PeerDirectory& directory,
                             const AgentRegistry& registry, HomeJobs& jobs,
                             EntryOutbox& effects)
    : settings(configured),
      ownership(owner),
      peers(directory),
      agents(registry),
      home(jobs),
      outbox(effects) {}

void Cancellations::OnCaller(const JobKey& key,
                             std::optional<RequestId> request, Timestamp now) {
  if (!this->MayRecord(key)) {
    if (request) {
      this->outbox.Add(
          CancelAnswered{*request, key, CancelOutcome::kNotConfirmed});
    }
    return;
  }
  // Counts from the latest cancelling, as a submission does.
  this->ownership.Cancel(key, now);
  this->Record(key, now);
  Cancelling& cancelling = this->cancellings[key];
  // Who confirmed an earlier cancelling may have ended since.
  if (cancelling.callers.empty()) cancelling = Cancelling();
  if (request) cancelling.callers.push_back({*request, now + kAnswerWithin});
  this->TellHome(key, cancelling, now);
  const BucketId bucket = this->ownership.BucketOfKey(key);
  const bool needs_more = this->leaving || this->ownership.IsActive(bucket);
  if (needs_more) this->AskHolders(key, cancelling, now);
  this->AskAgents(key, cancelling);
  this->AnswerIfHeld(key, cancelling, now);
}

void Cancellations::OnMessage(EntryId from, const CancelJob& message,
                              Timestamp now) {
  const JobKey& key = message.key;
  const bool confirms = message.step == CancelStep::kConfirmed;
  // An entry that isn't told that this one knows asks again.
  if (!confirms && !this->MayRecord(key)) return;
  if (!confirms) this->Record(key, now);
  const auto found = this->cancellings.find(key);
  if (found == this->cancellings.end()) return;
  Cancelling& cancelling = found->second;
  cancelling.holders.insert(from);
  if (message.promised.entry == from) {
    cancelling.confirmed = std::max(cancelling.confirmed, message.promised);
  }
  if (message.step == CancelStep::kRequested) {
    this->Send(from, key, CancelStep::kConfirmed);
  }
  this->AnswerIfHeld(key, cancelling, now);
}

void Cancellations::OnRenounceReply(AgentId from, const RenounceReply& message,
                                    Timestamp now) {
  const TaskReport& report = message.report;
  const auto found = this->cancellings.find(report.task.key);
  if (message.cancelled && found != this->cancellings.end()) {
    found->second.agents.insert(from);
    this->AnswerIfHeld(report.task.key, found->second, now);
  }
  if (report.state == StartedState::kRunning) return;
  if (!this->ownership.IsCancelled(report.task.key)) return;
  this->ownership.RemoveReported(report.task.key, {report.task.task, from});
}

void Cancellations::Learn(const JobKey& key, Timestamp now) {
  if (!this->ownership.IsCancelled(key)) this->Record(key, now);
}

bool Cancellations::MayRecord(const JobKey& key) const {
  return this->cancellings.size() < this->settings.maximum_cancelled_keys ||
         this->ownership.IsRecorded(key);
}

void Cancellations::Record(const JobKey& key, Timestamp now) {
  this->cancellings.try_emplace(key);
  if (!this->ownership.IsCancelled(key)) this->ownership.Cancel(key, now);
  if (this->ownership.IsActive(this->ownership.BucketOfKey(key))) {
    this->home.Cancel(key, now);
  }
}

void Cancellations::Repeat(Timestamp now) {
  // Also those that this entry has learned of with promises and hand-overs.
  for (const JobKey& key : this->ownership.CancelledKeys()) {
    Cancelling& cancelling = this->cancellings[key];
    if (this->ownership.IsActive(this->ownership.BucketOfKey(key))) {
      this->home.Cancel(key, now);
      this->StopRuns(key, now);
    }
    this->TellHome(key, cancelling, now);
    if (cancelling.callers.empty()) continue;
    this->AskHolders(key, cancelling, now);
    this->AskAgents(key, cancelling);
    this->AnswerIfHeld(key, cancelling, now);
  }
  std::erase_if(this->cancellings, [this](const auto& item) {
    return item.second.callers.empty() &&
           !this->ownership.IsCancelled(item.first);
  });
}

void Cancellations::TellHome(const JobKey& key, Cancelling& cancelling,
                             Timestamp now) {
  const BucketId bucket = this->ownership.BucketOfKey(key);
  if (this->ownership.IsActive(bucket)) return;
  const EntryId target = this->ownership.ExpectedHome(bucket, now);
  const bool reachable = target != EntryId() && target != this->settings.self &&
                         this->peers.IsConnected(target);
  if (!reachable) return;
  const Ballot promised = this->ownership.Promised(bucket);
  const bool knows =
      promised.entry == target && cancelling.confirmed == promised;
  if (knows) return;
  if (target != cancelling.told) {
    cancelling.told = target;
    cancelling.tell_from = now;
    cancelling.pause = kFirstPause;
  }
  if (now < cancelling.tell_from) return;
  cancelling.tell_from = now + cancelling.pause;
  cancelling.pause = std::min(2 * cancelling.pause, kLongestPause);
  this->Send(target, key, CancelStep::kRequested);
}

void Cancellations::AskHolders(const JobKey& key, const Cancelling& cancelling,
                               Timestamp now) {
  const BucketId bucket = this->ownership.BucketOfKey(key);
  const std::size_t required = this->RequiredHolders();
  const EntryId expected_home = this->ownership.ExpectedHome(bucket, now);
  std::size_t expected = cancelling.holders.size();
  for (const EntryId entry : this->ownership.MembersByRank(bucket)) {
    if (expected >= required) return;
    const bool may_hold =
        entry != this->settings.self && entry != expected_home &&
        !cancelling.holders.contains(entry) && this->peers.IsConnected(entry) &&
        !this->peers.IsSuspected(entry, now);
    if (!may_hold) continue;
    this->Send(entry, key, CancelStep::kRequested);
    ++expected;
  }
}

void Cancellations::AskAgents(const JobKey& key, const Cancelling& cancelling) {
  constexpr std::uint32_t kAllAttempts =
      std::numeric_limits<std::uint32_t>::max();
  const Ballot promised =
      this->ownership.Promised(this->ownership.BucketOfKey(key));
  for (const AgentId agent : this->agents.Connected()) {
    if (cancelling.agents.contains(agent)) continue;
    this->outbox.ToAgent(
        agent, Renounce{{key, TaskIndex(0)}, promised, kAllAttempts, true});
  }
}

bool Cancellations::AgentsHold(const Cancelling& cancelling,
                               Timestamp now) const {
  std::size_t known = 0;
  std::size_t holding = 0;
  for (const auto& [id, agent] : this->agents.all()) {
    if (agent.lost_at || agent.refuses_connections) continue;
    ++known;
    const bool holds = cancelling.agents.contains(id);
    if (holds) ++holding;
    const bool is_heard = agent.connected && now - agent.last_heard <=
                                                 this->settings.suspect_after;
    if (is_heard && !holds) return false;
  }
  return known == 0 || 2 * holding > known;
}

void Cancellations::Send(EntryId to, const JobKey& key, CancelStep step) {
  const BucketId bucket = this->ownership.BucketOfKey(key);
  this->outbox.ToPeer(to,
                      CancelJob{key, this->ownership.Promised(bucket), step});
}

void Cancellations::StopRuns(const JobKey& key, Timestamp now) {
  constexpr std::uint32_t kAllAttempts =
      std::numeric_limits<std::uint32_t>::max();
  const BucketId bucket = this->ownership.BucketOfKey(key);
  const Ballot ballot = this->ownership.Promised(bucket);
  for (const ReportedTask& run : this->ownership.ReportedTasks(key)) {
    if (this->ownership.RunsAreOver(run.agent, run.start, now)) {
      this->ownership.RemoveReported(key, run);
      continue;
    }
    const KnownAgent* agent = this->agents.Find(run.agent);
    if (agent == nullptr || !agent->connected) continue;
    const TaskId task{key, run.task};
    this->outbox.ToAgent(run.agent, StopTask{task, ballot});
    this->outbox.ToAgent(run.agent, Renounce{task, ballot, kAllAttempts, true});
  }
}

std::size_t Cancellations::RequiredHolders() const {
  constexpr std::size_t kOfLeavingEntry = 2;
  const View& view = this->ownership.view();
  const bool is_member = view.Find(this->settings.self) != nullptr;
  const std::size_t others = view.members.size() - (is_member ? 1 : 0);
  // An entry that is not a member, too, isn't asked by later homes.
  const bool keeps_record = is_member && !this->leaving;
  const std::size_t wanted = keeps_record ? 1 : kOfLeavingEntry;
  // An entry that has joined no view knows of no other that could confirm.
  return is_member ? std::min(others, wanted) : wanted;
}

void Cancellations::AnswerIfHeld(const JobKey& key, Cancelling& cancelling,
                                 Timestamp now) {
  if (!this->Holds(cancelling, now)) return;
  for (const WaitingCaller& caller : cancelling.callers) {
    this->outbox.Add(
        CancelAnswered{caller.request, key, CancelOutcome::kHolds});
  }
  cancelling.callers.clear();
}

void Cancellations::AnswerOverdue(Timestamp now) {
  for (auto& item : this->cancellings) {
    const JobKey& key = item.first;
    std::erase_if(item.second.callers, [&](const WaitingCaller& caller) {
      if (now < caller.answer_by) return false;
      this->outbox.Add(
          CancelAnswered{caller.request, key, CancelOutcome::kNotConfirmed});
      return true;
    });
  }
}

bool Cancellations::HasCallers() const {
  return std::any_of(
      this->cancellings.begin(), this->cancellings.end(),
      [](const auto& item) { return !item.second.callers.empty(); });
}

}  // namespace dandelionspur
