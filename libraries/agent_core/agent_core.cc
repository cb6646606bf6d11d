#include "libraries/agent_core/agent_core.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace dandelionspur {
namespace {

// Entries are told of neighbours for this long after a start asked for it.
constexpr Duration kReportNeighbours = std::chrono::seconds(5);
// Ticks come more often. A longer interval may be a step of the clock.
constexpr Duration kLongestTick = std::chrono::milliseconds(60);

// Why the upstream did not start a task; nothing for results after which the
// task may have run.
std::optional<Reason> ReasonNotRun(UpstreamResult result) {
  switch (result) {
    case UpstreamResult::kNotSent:
      return Reason::kUpstreamUnreachable;
    case UpstreamResult::kNoRoom:
      return Reason::kNoFreeSlot;
    case UpstreamResult::kUnanswered:
      return Reason::kOrderUnanswered;
    case UpstreamResult::kNoContact:
      return Reason::kContactLost;
    case UpstreamResult::kCannotCarry:
      return Reason::kMalformedRequest;
    case UpstreamResult::kSucceeded:
    case UpstreamResult::kFailed:
    case UpstreamResult::kBroken:
      break;
  }
  return std::nullopt;
}

// Entries release the address of an agent only after they have not heard it for
// longer than this.
constexpr Duration kLongSilence = std::chrono::seconds(8);
static_assert(kLongSilence + kContactLimit < kLatestLateOrder);

// Whether an agent that has promised `promised` grants a request for a promise.
bool MayGrant(EntryId from, const BucketBallot& request,
              const Ballot& promised) {
  return request.ballot >= promised && request.ballot.entry == from;
}

}  // namespace

AgentCore::AgentCore(const AgentCoreSettings& configured)
    : settings(configured),
      started(configured.started_set),
      losses(configured.started_set.duplicate_window),
      evacuation(configured.data_centre),
      promises(configured.bucket_count),
      claim(configured.claims_address) {}

std::vector<AgentEffect> AgentCore::Handle(const AgentEvent& event,
                                           Timestamp now) {
  this->current_time = now;
  this->effects.clear();
  // Before the event: after a freeze of the process, its buffers may hold old
  // messages, and the last confirmation may have become too old.
  this->UpdateRenewal();
  std::visit([this](const auto& alternative) { this->On(alternative); }, event);
  return std::move(this->effects);
}

void AgentCore::On(const UpstreamAnnounced& event) {
  this->description = event.description;
  this->description->agent = this->settings.self;
  this->description->data_centre = this->settings.data_centre;
  this->admission.SetCapacity(event.description.capacity);
  ++this->load_version;
  this->upstream_leaving = false;
  this->contact = UpstreamContact::kAnswering;
  this->ClaimAddressIfReleased();
  // Entries need the description of an upstream that returned with changes.
  this->acknowledged.clear();
  this->SendRegistrations();
  this->ApplyCapacity();
  this->SendHeartbeats();
}

void AgentCore::On(const UpstreamLeaving& /*event*/) {
  this->upstream_leaving = true;
  this->StartQueued();
  this->SendHeartbeats();
}

void AgentCore::On(const UpstreamContactChanged& event) {
  if (event.contact == this->contact) return;
  this->contact = event.contact;
  if (event.contact == UpstreamContact::kAnswering) {
    this->WithdrawContactBreak();
    this->ClaimAddressIfReleased();
  }
  this->StartQueued();
  this->SendHeartbeats();
}

void AgentCore::On(const UpstreamContactBroken& event) {
  const Timestamp broken_at = this->current_time - event.age;
  LossSuspects found =
      FindSuspects(this->admission.RunningTasks(), this->losses, broken_at);
  if (!found.tasks.empty()) {
    this->recent_losses.Add(broken_at, std::move(found.groups));
  }
  this->break_suspects = std::move(found.tasks);
  this->contact = UpstreamContact::kSilent;
  this->StartQueued();
  this->SendHeartbeats();
}

void AgentCore::WithdrawContactBreak() {
  if (this->break_suspects.empty()) return;
  this->break_suspects.clear();
  this->recent_losses.WithdrawLatest();
}

void AgentCore::On(const UpstreamLost& /*event*/) {
  const std::vector<TaskAtUpstream> running = this->admission.RunningTasks();
  std::set<TaskId> suspects = std::exchange(this->break_suspects, {});
  if (suspects.empty()) {
    LossSuspects found = FindSuspects(running, this->losses, std::nullopt);
    suspects = std::move(found.tasks);
    this->recent_losses.Add(this->current_time, std::move(found.groups));
    this->next_heartbeat = this->current_time;
  }
  for (const TaskAtUpstream& task : running) {
    const UpstreamLoss loss{
        this->settings.self, this->started.LatestStart(task.task),
        suspects.contains(task.task) ? LossRole::kSuspect
                                     : LossRole::kBystander};
    this->losses.Record(task.task, {loss}, this->current_time);
  }
}

std::vector<TaskId> AgentCore::RunningTasks() const {
  std::vector<TaskId> tasks;
  for (const TaskAtUpstream& task : this->admission.RunningTasks()) {
    tasks.push_back(task.task);
  }
  return tasks;
}

TaskReport AgentCore::ReportOf(const TaskId& task) const {
  TaskReport report = this->started.Report(task);
  report.losses = this->losses.Of(task);
  return report;
}

void AgentCore::On(const EntryConnected& event) {
  this->connected[event.entry] = ConnectedEntry();
  this->admission.ForgetNumbers(event.entry);
  this->acknowledged.erase(event.entry);
  this->ready_announced.erase(event.entry);
  this->SendRegistrations();
}

void AgentCore::On(const EntryDisconnected& event) {
  this->connected.erase(event.entry);
  this->acknowledged.erase(event.entry);
  this->ready_announced.erase(event.entry);
}

void AgentCore::On(const EntryMessageReceived& event) {
  std::visit([&](const auto& message) { this->OnMessage(event.from, message); },
             event.message);
}

void AgentCore::On(const UpstreamTaskCompleted& event) {
  if (!this->admission.IsRunning(event.task)) return;
  const TaskAtUpstream ended = this->admission.RunningTask(event.task);
  const Duration declared = this->admission.Release(event.task);
  this->neighbours.NoteEnded(ended.group, this->current_time);
  if (this->admission.running_count() == 0) this->break_suspects.clear();
  ++this->load_version;
  this->stopping.erase(event.task);
  this->StartQueued();
  const EntryId home =
      this->promises[this->BucketOfKey(event.task.key).value()].entry;
  const StartNumber start = this->started.LatestStart(event.task);
  const std::optional<Reason> not_run = ReasonNotRun(event.result);
  if (not_run) {
    const Reason reason = *not_run;
    this->started.MarkNotRun(event.task);
    this->effects.emplace_back(StartRefusalCounted{reason});
    this->Send(home, TaskNotRun{event.task, reason, Ballot(),
                                this->ReportLoad(home), start});
    this->NotifyEntriesWithDemand(home);
    return;
  }
  TaskOutcome outcome = TaskOutcome::kUnknown;
  if (event.result == UpstreamResult::kSucceeded) {
    outcome = TaskOutcome::kSucceeded;
    this->performance.ObserveSuccess(declared, event.elapsed,
                                     this->current_time);
  }
  if (event.result == UpstreamResult::kFailed) {
    outcome = TaskOutcome::kFailed;
    this->performance.ObserveFailure(this->current_time);
  }
  this->started.MarkFinished(event.task, outcome, event.body);
  // Built from the event, since the size limit of the set may have evicted the
  // answer already.
  const TaskReport report{
      event.task, StartedState::kFinished,    outcome, event.body, true,
      start,      this->losses.Of(event.task)};
  TaskFinished finished{report, event.elapsed, this->ReportLoad(home)};
  if (this->ReportsNeighbours()) {
    finished.neighbours = this->neighbours.Beside(ended.group, ended.started_at,
                                                  this->current_time);
  }
  this->Send(home, std::move(finished));
  this->NotifyEntriesWithDemand(home);
}

void AgentCore::On(const AgentViewRead& event) { this->AdoptView(event.view); }

void AgentCore::On(const AddressFoundVacant& /*event*/) {
  this->predecessors_over = true;
}

void AgentCore::On(const AddressClaimed& event) {
  this->claim.NoteClaimed();
  this->AdoptView(event.view);
  this->CheckReady();
}

void AgentCore::ReleaseAddressIfVacant() {
  using Upstream = AddressClaim::Upstream;
  const bool is_idle = this->admission.running_count() == 0 &&
                       this->admission.waiting_count() == 0;
  const bool is_silent =
      this->description && this->contact == UpstreamContact::kSilent;
  Upstream upstream = Upstream::kPresent;
  if (is_idle && this->upstream_leaving) {
    upstream = Upstream::kDeparted;
  } else if (is_idle && (is_silent || this->VacantAddress())) {
    upstream = Upstream::kSilent;
  }
  if (!this->claim.Release(upstream, this->current_time)) return;
  this->effects.emplace_back(ReleaseAddress{});
}

void AgentCore::ClaimAddressIfReleased() {
  if (!this->claim.BeginClaim()) return;
  this->ready = false;
  this->ready_announced.clear();
  this->acknowledged.clear();
  this->effects.emplace_back(ClaimAddress{});
  this->SendRegistrations();
}

void AgentCore::On(const LeaveRequested& /*event*/) {
  if (this->leaving) return;
  this->leaving = true;
  for (const auto& [entry, state] : this->connected) {
    this->Send(entry, AgentLeaving{});
  }
}

void AgentCore::On(const AgentTick& event) {
  this->admission.NoteUnconfirmed(event.unconfirmed);
  const Duration since_tick = this->current_time - this->latest_tick;
  this->running_for += std::clamp(since_tick, Duration(), kLongestTick);
  this->latest_tick = this->current_time;
  this->started.Expire(this->current_time);
  this->losses.Expire(this->current_time);
  this->recent_losses.Expire(this->current_time);
  this->StopOverdue();
  this->ReleaseAddressIfVacant();
  const bool idle = this->admission.running_count() == 0 &&
                    this->admission.waiting_count() == 0;
  if (this->leaving && idle && !this->drained_reported) {
    this->drained_reported = true;
    this->effects.emplace_back(AgentDrained{});
  }
  if (this->current_time >= this->next_heartbeat) this->SendHeartbeats();
  if (this->current_time < this->next_registration) return;
  this->SendRegistrations();
}

void AgentCore::OnMessage(EntryId from, const RegisterAcknowledged& message) {
  for (const BucketBallot& promise : message.promises) {
    if (promise.bucket.value() >= this->promises.size()) continue;
    Ballot& promised_ballot = this->promises[promise.bucket.value()];
    promised_ballot = std::max(promised_ballot, promise.ballot);
  }
  if (message.has_promises) this->promises_received.insert(from);
  this->AdoptEvacuations(from, message.evacuations);
  // The first view comes from the table, once this agent is listed there.
  if (this->view.epoch != Epoch()) this->AdoptView(message.view);
  const bool is_complete =
      this->connected.contains(from) && this->promises_received.contains(from);
  if (!is_complete) return;
  // The acknowledgement holds in later views as well: a member that knows this
  // agent tells the entries that join about it.
  this->acknowledged.insert(from);
  this->CheckReady();
  if (this->ready) this->AnnounceReady(from);
}

void AgentCore::OnMessage(EntryId from, const PromiseRequest& message) {
  const std::vector<BucketId> grantable = this->Grantable(from, message);
  StartedQuery query{grantable, this->settings.bucket_count, std::nullopt,
                     message.maximum_listed};
  const bool continues =
      !grantable.empty() && grantable.front() == message.buckets.front().bucket;
  if (continues) query.after = message.after;
  StartedList list = this->started.List(query);
  AgentPromiseReply reply;
  reply.part = {message.sequence, query.after, list.resume_after};
  std::unordered_set<BucketId> complete;
  for (const BucketBallot& request : message.buckets) {
    if (request.bucket.value() >= this->promises.size()) continue;
    Ballot& promised_ballot = this->promises[request.bucket.value()];
    const bool grant = MayGrant(from, request, promised_ballot);
    // A promise without the list of what has been started is worth nothing, and
    // would stop the present home too early.
    if (grant && complete.size() == list.covered) continue;
    if (grant) {
      promised_ballot = request.ballot;
      complete.insert(request.bucket);
    }
    reply.buckets.push_back({request.bucket, promised_ballot, grant});
  }
  if (list.resume_after) complete.erase(grantable[list.covered - 1]);
  reply.started = std::move(list.jobs);
  reply.losses = this->losses.InBuckets(complete, this->settings.bucket_count);
  this->Send(from, std::move(reply));
}

std::vector<BucketId> AgentCore::Grantable(
    EntryId from, const PromiseRequest& message) const {
  std::vector<BucketId> grantable;
  for (const BucketBallot& request : message.buckets) {
    if (request.bucket.value() >= this->promises.size()) continue;
    const Ballot& promised = this->promises[request.bucket.value()];
    if (!MayGrant(from, request, promised)) continue;
    grantable.push_back(request.bucket);
  }
  return grantable;
}

void AgentCore::OnMessage(EntryId from, const Start& message) {
  const auto sender = this->connected.find(from);
  Start start = message;
  if (sender != this->connected.end()) {
    ++sender->second.starts_seen;
    sender->second.demand = message.queued;
    Payload& latest = sender->second.latest_body;
    if (!message.repeated_body) latest = message.request.body;
    if (message.repeated_body == latest.digest()) {
      start.request.body = latest;
      start.repeated_body.reset();
    }
  }
  this->Accept(from, start);
}

void AgentCore::Accept(EntryId from, const Start& message) {
  if (this->started.Contains(message.task) &&
      !this->started.MayRunAgain(message)) {
    this->started.UpdateLatestStart(message);
    const TaskReport report = this->ReportOf(message.task);
    if (report.state == StartedState::kFinished) {
      this->Send(from,
                 TaskFinished{report, Duration(), this->ReportLoad(from)});
    }
    return;
  }
  const std::optional<Reason> refusal = this->StartRefusalReason(message);
  if (refusal) {
    this->RefuseStart(from, message, *refusal);
    return;
  }
  if (!this->admission.Admits(message.request.need)) {
    this->RefuseStart(from, message, Reason::kNoFreeSlot);
    return;
  }
  this->started.Insert(message, this->current_time);
  if (message.report_neighbours) {
    this->report_neighbours_until = this->current_time + kReportNeighbours;
  }
  this->losses.Record(message.task, message.losses, this->current_time);
  Ballot& promised =
      this->promises[this->BucketOfKey(message.task.key).value()];
  promised = std::max(promised, message.ballot);
  ++this->load_version;
  AcceptedStart accepted{message, from, this->current_time + message.time_left};
  const auto sender = this->connected.find(from);
  if (sender != this->connected.end()) {
    accepted.number = sender->second.starts_seen;
  }
  if (message.slack) accepted.start_by = this->current_time + *message.slack;
  this->admission.Enqueue(std::move(accepted));
  this->StartQueued();
}

void AgentCore::OnMessage(EntryId from, const Renounce& message) {
  const bool is_known = this->started.Contains(message.task);
  // The entry asks again, and tells its caller that the cancelling isn't known
  // to hold.
  const bool has_room = is_known || this->started.MayCancel(message.task.key);
  if (message.cancelled && !has_room) return;
  if (message.cancelled) {
    this->started.Cancel(message.task.key, this->current_time);
  }
  if (!is_known) {
    this->started.Forbid(message.task, {message.ballot, message.attempt});
  }
  RenounceReply reply{this->ReportOf(message.task),
                      this->started.IsCancelled(message.task.key)};
  if (reply.report.state == StartedState::kNeverStarted) {
    reply.report.start = {message.ballot, message.attempt};
  }
  this->Send(from, std::move(reply));
}

void AgentCore::OnMessage(EntryId /*from*/, const StopTask& message) {
  const Ballot& promised =
      this->promises[this->BucketOfKey(message.task.key).value()];
  // The task may have been started again by the present home.
  const bool is_outdated =
      !message.ballot.IsNone() && message.ballot < promised;
  if (is_outdated) return;
  const std::optional<AcceptedStart> waiting =
      this->admission.Withdraw(message.task);
  if (waiting) {
    this->RejectQueued(*waiting, Reason::kCancelled);
    return;
  }
  if (!this->admission.IsRunning(message.task)) return;
  if (!this->stopping.insert(message.task).second) return;
  this->effects.emplace_back(StopOnUpstream{message.task});
}

void AgentCore::OnMessage(EntryId from, const DemandNotice& message) {
  const auto sender = this->connected.find(from);
  if (sender == this->connected.end()) return;
  sender->second.demand = message.queued;
  // Answered only if the load has changed since the last report to this entry;
  // otherwise the two would exchange notices and heartbeats without end.
  if (sender->second.reported_load == this->load_version) return;
  this->SendHeartbeat(from);
}

void AgentCore::OnMessage(EntryId from, const EntryHeartbeat& message) {
  this->AdoptEvacuations(from, message.evacuations);
  this->NoteConfirmed(message.heard);
  this->UpdateRenewal();
}

void AgentCore::OnMessage(EntryId from, const ConfirmRequest& message) {
  ConfirmReply reply;
  reply.sequence = message.sequence;
  for (const BucketBallot& requested : message.buckets) {
    if (requested.bucket.value() >= this->promises.size()) continue;
    const Ballot& promised_ballot = this->promises[requested.bucket.value()];
    if (promised_ballot <= requested.ballot) {
      reply.confirmed.push_back(requested.bucket);
    } else {
      reply.higher.push_back({requested.bucket, promised_ballot});
    }
  }
  this->Send(from, std::move(reply));
}

void AgentCore::AdoptView(const View& candidate) {
  if (candidate.epoch <= this->view.epoch) return;
  this->view = candidate;
  std::erase_if(this->acknowledged, [&](EntryId entry) {
    return this->view.Find(entry) == nullptr;
  });
  this->effects.emplace_back(ConnectToMembers{this->view});
  this->SendRegistrations();
  this->CheckReady();
}

void AgentCore::AdoptEvacuations(EntryId from,
                                 const std::optional<EvacuationSet>& told) {
  if (!told) return;
  const auto sender = this->connected.find(from);
  if (sender != this->connected.end()) sender->second.tells_evacuations = true;
  const std::optional<EvacuationPhase> change = this->evacuation.Adopt(*told);
  if (!change) return;
  this->effects.emplace_back(OwnEvacuationChanged{*change, told->version});
  this->StartQueued();
  this->SendHeartbeats();
}

void AgentCore::SendRegistrations() {
  this->next_registration =
      this->current_time + this->settings.registration_interval;
  if (!this->description || this->view.epoch == Epoch()) return;
  for (const auto& [entry, state] : this->connected) {
    if (this->acknowledged.contains(entry)) continue;
    this->Send(entry, Register{*this->description, this->view.epoch,
                               this->promises_received.contains(entry),
                               this->evacuation.known()});
  }
}

void AgentCore::CheckReady() {
  if (this->ready || !this->claim.is_claimed()) return;
  for (const ViewMember& member : this->view.members) {
    if (!this->acknowledged.contains(member.entry)) return;
  }
  this->ready = true;
  for (const EntryId entry : this->acknowledged) this->AnnounceReady(entry);
}

void AgentCore::AnnounceReady(EntryId entry) {
  Epoch& announced = this->ready_announced[entry];
  if (announced == this->view.epoch) return;
  announced = this->view.epoch;
  this->Send(entry, AgentReady{this->view.epoch});
  if (this->leaving) this->Send(entry, AgentLeaving{});
  this->SendHeartbeat(entry);
}

std::optional<Reason> AgentCore::StartRefusalReason(const Start& start) const {
  if (start.agent != this->settings.self) return Reason::kWrongIncarnation;
  // The connection with the start that had the body has broken.
  if (start.repeated_body) return Reason::kNoFreeSlot;
  if (start.ballot <
      this->promises[this->BucketOfKey(start.task.key).value()]) {
    return Reason::kStaleBallot;
  }
  if (this->started.IsCancelled(start.task.key)) return Reason::kCancelled;
  const std::optional<Reason> not_accepting = this->NotAcceptingReason();
  if (not_accepting) return not_accepting;
  const bool outdated =
      start.rerun == RerunPolicy::kAfterLease &&
      this->current_time - start.contact > this->settings.contact_limit;
  if (outdated) return Reason::kContactLost;
  if (this->started.IsFull()) return Reason::kStartedSetFull;
  if (this->started.IsForbidden(start)) return Reason::kAttemptRefused;
  return std::nullopt;
}

void AgentCore::RefuseStart(EntryId to, const Start& start, Reason reason) {
  this->started.Forbid(start.task, start.Number());
  this->effects.emplace_back(StartRefusalCounted{reason});
  const Ballot promised =
      this->promises[this->BucketOfKey(start.task.key).value()];
  this->Send(to, TaskNotRun{start.task, this->ReasonFor(to, reason), promised,
                            this->ReportLoad(to), start.Number(),
                            this->started.IsCancelled(start.task.key)});
}

Reason AgentCore::ReasonFor(EntryId to, Reason reason) const {
  if (reason != Reason::kDataCentreEvacuated) return reason;
  const auto receiver = this->connected.find(to);
  const bool is_known =
      receiver != this->connected.end() && receiver->second.tells_evacuations;
  return is_known ? reason : Reason::kNoFreeSlot;
}

void AgentCore::RejectQueued(const AcceptedStart& accepted, Reason reason) {
  const TaskId& task = accepted.start.task;
  this->started.MarkNotRun(task);
  ++this->load_version;
  this->effects.emplace_back(StartRefusalCounted{reason});
  const Ballot promised = this->promises[this->BucketOfKey(task.key).value()];
  this->Send(
      promised.entry,
      TaskNotRun{task, this->ReasonFor(promised.entry, reason), promised,
                 this->ReportLoad(promised.entry), accepted.start.Number(),
                 this->started.IsCancelled(task.key)});
}

void AgentCore::StartQueued() {
  // Queued starts are returned, so that the home can use another agent.
  if (const std::optional<Reason> not_accepting = this->NotAcceptingReason()) {
    for (const AcceptedStart& accepted :
         this->admission.WithdrawOverdue(Timestamp::max())) {
      this->RejectQueued(accepted, *not_accepting);
    }
    return;
  }
  while (const std::optional<AcceptedStart> next =
             this->admission.TakeNext(this->current_time)) {
    if (this->started.IsCancelled(next->start.task.key)) {
      this->admission.Release(next->start.task);
      this->RejectQueued(*next, Reason::kCancelled);
      continue;
    }
    const Duration time_left = next->deadline - this->current_time;
    ++this->load_version;
    this->neighbours.NoteStarted(next->start.group, this->current_time);
    this->effects.emplace_back(
        RunOnUpstream{next->start.task, next->start.job_name,
                      next->start.request.body, time_left});
  }
}

void AgentCore::ApplyCapacity() {
  for (const AcceptedStart& accepted : this->admission.WithdrawOversized()) {
    this->RejectQueued(accepted, Reason::kNoFreeSlot);
  }
  this->StartQueued();
}

void AgentCore::StopOverdue() {
  for (const AcceptedStart& accepted :
       this->admission.WithdrawOverdue(this->current_time)) {
    this->RejectQueued(accepted, Reason::kDeadlineExceeded);
  }
  for (const TaskId& task : this->admission.Overdue(this->current_time)) {
    if (!this->stopping.insert(task).second) continue;
    this->effects.emplace_back(StopOnUpstream{task});
  }
}

LeaseRenewal AgentCore::RenewalAt(Timestamp now) const {
  const Duration age = now - this->last_confirmed;
  // A negative age means that the clock was set back after the confirmation.
  const bool fresh = age <= this->settings.contact_limit && age >= Duration();
  return fresh ? LeaseRenewal::kAllowed : LeaseRenewal::kSuspended;
}

void AgentCore::UpdateRenewal() {
  const LeaseRenewal wanted = this->RenewalAt(this->current_time);
  if (wanted == this->renewal) return;
  this->renewal = wanted;
  // Entries must not wait for the next regular heartbeat to learn whether this
  // agent accepts tasks.
  this->next_heartbeat = this->current_time;
  this->effects.emplace_back(RenewalChanged{wanted});
  this->StartQueued();
}

void AgentCore::NoteConfirmed(Timestamp sent_at) {
  const Timestamp before = this->last_confirmed;
  this->last_confirmed = std::max(before, sent_at);
  const bool was_long_silent =
      before != Timestamp() && this->last_confirmed - before > kLongSilence;
  if (!was_long_silent) return;
  this->claim.NoteLongSilence();
  const bool has_upstream =
      this->description && this->contact == UpstreamContact::kAnswering;
  if (has_upstream) this->ClaimAddressIfReleased();
}

std::optional<Reason> AgentCore::NotAcceptingReason() const {
  if (!this->ready) return Reason::kAgentNotReady;
  if (this->leaving || this->upstream_leaving) return Reason::kAgentLeaving;
  if (this->is_evacuated()) return Reason::kDataCentreEvacuated;
  if (this->contact == UpstreamContact::kSilent) {
    return Reason::kUpstreamUnreachable;
  }
  // A start grants a lease as well, and the entries may already count this
  // agent's leases as expired.
  if (this->renewal == LeaseRenewal::kSuspended) return Reason::kContactLost;
  return std::nullopt;
}

AgentLoad AgentCore::LoadFor(EntryId entry) const {
  AgentLoad load;
  load.capacity = this->admission.total();
  load.running = this->admission.running_need();
  load.waiting = this->admission.waiting_need();
  const auto receiver = this->connected.find(entry);
  if (receiver != this->connected.end()) {
    load.starts_seen = receiver->second.starts_seen;
    load.starts_unconfirmed = this->UnconfirmedStarts(entry);
  }
  load.accepting = !this->NotAcceptingReason();
  load.leaving = this->leaving || this->upstream_leaving;
  load.performance = this->performance.Report(this->current_time);
  return load;
}

std::uint32_t AgentCore::UnconfirmedStarts(EntryId entry) const {
  const std::optional<std::uint64_t> first =
      this->admission.FirstUnconfirmed(entry);
  if (!first) return 0;
  const std::uint64_t seen = this->connected.at(entry).starts_seen;
  return static_cast<std::uint32_t>(seen + 1 - *first);
}

AgentLoad AgentCore::ReportLoad(EntryId entry) {
  const auto receiver = this->connected.find(entry);
  if (receiver != this->connected.end()) {
    receiver->second.reported_load = this->load_version;
  }
  return this->LoadFor(entry);
}

void AgentCore::SendHeartbeat(EntryId entry) {
  const AgentLoad load = this->ReportLoad(entry);
  // The entry applies the same rule to the load and sends another demand
  // notice if it needs more capacity.
  if (load.HasFreeCapacity()) this->connected[entry].demand = 0;
  AgentHeartbeat heartbeat{load, this->current_time, this->view.epoch,
                           this->recent_losses.Report(this->current_time),
                           this->evacuation.version()};
  if (this->ReportsNeighbours()) {
    heartbeat.running_groups = this->neighbours.Running();
  }
  heartbeat.vacant_address = this->VacantAddress();
  this->Send(entry, std::move(heartbeat));
}

std::optional<Endpoint> AgentCore::VacantAddress() const {
  const bool is_over = this->predecessors_over ||
                       this->running_for > this->settings.predecessor_run_time;
  const bool is_idle = this->admission.running_count() == 0 &&
                       this->admission.waiting_count() == 0;
  const bool is_vacant =
      this->description ? is_idle && this->claim.is_released() : is_over;
  return is_vacant ? std::optional(this->settings.admin_endpoint)
                   : std::nullopt;
}

void AgentCore::NotifyEntriesWithDemand(EntryId except) {
  const bool has_capacity = this->admission.waiting_count() == 0 &&
                            this->LoadFor(except).HasFreeCapacity();
  if (!has_capacity) return;
  for (const auto& [entry, state] : this->connected) {
    if (state.demand == 0 || entry == except) continue;
    this->SendHeartbeat(entry);
  }
}

void AgentCore::SendHeartbeats() {
  this->next_heartbeat = this->current_time + this->settings.heartbeat_interval;
  for (const auto& [entry, state] : this->connected) {
    this->SendHeartbeat(entry);
  }
}

void AgentCore::Send(EntryId to, AgentMessage message) {
  if (!this->connected.contains(to)) return;
  this->effects.emplace_back(SendToEntry{to, std::move(message)});
}

BucketId AgentCore::BucketOfKey(const JobKey& key) const {
  return BucketOf(key, this->settings.bucket_count);
}

}  // namespace dandelionspur
