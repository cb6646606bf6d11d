#include "libraries/upstream_session/leased_upstream.h"

#include <cstdint>

namespace dandelionspur {
namespace {

using Phase = UpstreamTask::Phase;

// An unanswered list request is forgotten once its answer is this much overdue.
constexpr Duration kListForgottenAfter = std::chrono::milliseconds(1800);
// Delay before the next request after a failed list request.
constexpr Duration kListRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(150);
// Start orders that are sent for one run before it counts as refused.
constexpr std::uint32_t kMaximumOrders = 20;

// Whether another incarnation has answered than the session is with. An answer
// or a heartbeat without a start time does not tell.
bool IsFromOther(const ListAnswer& list, const UpstreamIncarnation& present) {
  return list.started_milliseconds != 0 && present.started_milliseconds != 0 &&
         list.started_milliseconds != present.started_milliseconds;
}

}  // namespace

LeasedUpstream::LeasedUpstream(const LeasedUpstreamSettings& configured)
    : settings(configured),
      orders(configured.first_token, configured.maximum_lease) {}

std::vector<SessionEffect> LeasedUpstream::TakeEffects() {
  return this->reporter.Take();
}

void LeasedUpstream::OnHeartbeat(const UpstreamHeartbeat& heartbeat,
                                 SteadyTime now) {
  const bool other_service = this->settings.service != ServiceName() &&
                             heartbeat.service != this->settings.service;
  if (other_service) return;
  if (!this->upstream) {
    this->Adopt(heartbeat, now);
    return;
  }
  const UpstreamIncarnation& current = this->upstream->incarnation;
  const UpstreamIncarnation& received = heartbeat.incarnation;
  if (received != current) {
    this->OnOtherIncarnation(heartbeat, now);
    return;
  }
  if (heartbeat.sequence <= this->upstream->sequence) return;
  const bool changed = heartbeat.capacity != this->upstream->capacity ||
                       heartbeat.service != this->upstream->service ||
                       heartbeat.endpoint != this->upstream->endpoint;
  const bool returned = heartbeat.state == UpstreamState::kReady &&
                        this->upstream->state == UpstreamState::kLeaving;
  this->upstream = heartbeat;
  this->orders.SetClock(heartbeat.clock, now);
  if (heartbeat.state == UpstreamState::kLeaving) {
    this->reporter.ReportLeaving();
    return;
  }
  if (!this->unknown_runs_stopped || !(changed || returned)) return;
  const UpstreamContact contact_before = this->reporter.contact();
  this->reporter.Announce(heartbeat);
  // A heartbeat is no answer to a call.
  this->reporter.SetContact(contact_before);
}

void LeasedUpstream::OnOtherIncarnation(const UpstreamHeartbeat& heartbeat,
                                        SteadyTime now) {
  const bool known =
      this->successor &&
      this->successor->heartbeat().incarnation == heartbeat.incarnation;
  if (known) {
    this->successor->OnHeartbeat(heartbeat, now);
  } else {
    // A delayed heartbeat does not displace a candidate that has answered.
    if (this->successor && this->successor->is_alive()) return;
    this->successor.emplace(heartbeat, now);
  }
  this->FollowSuccessor(now);
}

void LeasedUpstream::FollowSuccessor(SteadyTime now) {
  if (!this->upstream || !this->successor) return;
  if (this->successor->IsOutdated(now)) {
    this->successor.reset();
    return;
  }
  if (this->successor->IsProbeDue(now)) this->ProbeSuccessor(now);
  if (!this->successor->is_alive()) return;
  const bool is_idle = this->tasks.empty();
  const bool is_preferred =
      this->reporter.contact() == UpstreamContact::kSilent ||
      this->successor->IsPreferredTo(*this->upstream);
  const bool ended = this->successor->ProvesEndOf(*this->upstream);
  if (ended || (is_idle && is_preferred)) this->ReplaceUpstream(now);
}

void LeasedUpstream::ProbeSuccessor(SteadyTime now) {
  const SendList probe = this->orders.Probe(this->successor->heartbeat());
  this->successor->OnProbeSent(probe.number, now);
  this->reporter.Add(probe);
}

void LeasedUpstream::ReplaceUpstream(SteadyTime now) {
  if (!this->IsEndPlanned()) this->ReportLoss(LossEvidence::kNewIncarnation);
  this->ReportEnd(SessionEndEvidence::kSuccessorAnswered);
  const UpstreamHeartbeat heartbeat = this->successor->heartbeat();
  this->Adopt(heartbeat, now);
}

void LeasedUpstream::Adopt(const UpstreamHeartbeat& heartbeat, SteadyTime now) {
  this->orders.BeginIncarnation(heartbeat.clock, now);
  this->tasks.BeginIncarnation();
  this->reporter.BeginIncarnation();
  this->successor.reset();
  this->upstream = heartbeat;
  this->responses = ResponseTracker();
  this->responses.RestartSilence(now);
  this->unknown_runs_stopped = false;
  this->departure_noticed = false;
  this->refused_since_answer = false;
  this->loss_reported = false;
  this->RequestList(Duration(), now);
}

void LeasedUpstream::OnGone(const UpstreamGone& gone, SteadyTime now) {
  const bool same_id =
      this->upstream && this->upstream->incarnation.id == gone.incarnation.id;
  const bool is_own =
      same_id && this->upstream->incarnation == gone.incarnation;
  if (is_own && this->tasks.empty()) {
    this->EndSession();
  } else if (is_own ||
             (same_id && gone.incarnation.started_milliseconds == 0)) {
    // The upstream runs on until it has the answer to the notice, or an earlier
    // incarnation may have sent it. So the upstream is asked whether it still
    // answers.
    this->departure_noticed = true;
    this->responses.RecordFailure(this->orders.next_list(), now);
    this->RequestList(Duration(), now);
  } else {
    this->reporter.Add(ForeignDeparture{gone.incarnation});
  }
}

void LeasedUpstream::EndSession() {
  this->ReportEnd(SessionEndEvidence::kDepartureNotice);
  this->orders.ForgetLists();
  this->unknown_runs_stopped = false;
  this->successor.reset();
  this->reporter.SetContact(UpstreamContact::kSilent);
  this->upstream.reset();
}

void LeasedUpstream::Run(const RunOnUpstream& wanted, SteadyTime now) {
  const std::string name =
      UpstreamTaskName(wanted.job_name, wanted.task.task.value());
  if (!this->upstream || !this->unknown_runs_stopped ||
      this->tasks.Contains(name)) {
    this->reporter.ReportCompletion(wanted.task, UpstreamResult::kNotSent,
                                    Duration());
    return;
  }
  if (this->renewal == LeaseRenewal::kSuspended) {
    this->reporter.ReportCompletion(wanted.task, UpstreamResult::kNoContact,
                                    Duration());
    return;
  }
  this->orders.SupersedeOverdueLists(now);
  // Without tasks no lists are requested, so an old answer does not mean that
  // the upstream is unresponsive.
  if (this->tasks.empty()) this->responses.RestartSilence(now);
  this->OrderStart(this->tasks.Add(name, wanted, now), now);
  this->RequestListIfDue(now);
}

void LeasedUpstream::Stop(const TaskId& task, SteadyTime now) {
  UpstreamTask* const stopped = this->tasks.Find(task);
  if (stopped == nullptr) return;
  stopped->stopping = true;
  this->OrderStop(*stopped, now);
}

void LeasedUpstream::OrderStart(UpstreamTask& task, SteadyTime now) {
  this->reporter.Add(this->orders.Start(*this->upstream, task, now));
}

void LeasedUpstream::OrderStop(UpstreamTask& task, SteadyTime now) {
  task.next_stop = now + kStopRetryInterval;
  this->reporter.Add(this->orders.Stop(*this->upstream, task.run));
}

void LeasedUpstream::OnStartAnswer(const StartOrder& order,
                                   const OrderAnswer& answer, SteadyTime now) {
  if (!this->orders.IsOfIncarnation(order.token)) return;
  this->orders.UpdateClock(answer, now);
  UpstreamTask* const task = this->tasks.Find(order.run);
  const bool expected = task != nullptr && task->phase == Phase::kOrdered &&
                        task->token == order.token;
  if (!expected) return;
  this->orders.OnLeaseAnswer(task->lease, answer);
  const std::string name = order.run.task;
  const bool may_repeat = task->orders < kMaximumOrders;
  switch (answer.outcome) {
    case OrderOutcome::kDone:
      this->RecordAnswer(now);
      task->phase = Phase::kRunning;
      task->listed_from = this->orders.next_list();
      return;
    case OrderOutcome::kFenced:
      this->orders.ReplaceToken(order.token);
      break;
    case OrderOutcome::kStaleRunNumber:
      task->run.run = this->tasks.NextRun(name);
      break;
    case OrderOutcome::kLeaseExpired:
      break;
    case OrderOutcome::kNoCapacity:
      this->Complete({name, UpstreamResult::kNoRoom}, now);
      return;
    case OrderOutcome::kUnknown:
      task->phase = Phase::kUnconfirmed;
      this->orders.Supersede();
      this->responses.RecordFailure(this->orders.next_list(), now);
      this->RequestList(Duration(), now);
      return;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kConnectionRefused:
    case OrderOutcome::kOtherIncarnation:
      this->RecordFailure(now);
      this->Complete({name, UpstreamResult::kNotSent}, now);
      return;
    case OrderOutcome::kRefused:
      this->Complete({name, UpstreamResult::kNotSent}, now);
      return;
  }
  if (this->renewal == LeaseRenewal::kSuspended) {
    this->Complete({name, UpstreamResult::kNoContact}, now);
  } else if (may_repeat && !task->stopping) {
    this->OrderStart(*task, now);
  } else {
    this->Complete({name, UpstreamResult::kNotSent}, now);
  }
}

void LeasedUpstream::OnStopAnswer(const StopOrder& order,
                                  const OrderAnswer& answer, SteadyTime now) {
  if (!this->orders.IsOfIncarnation(order.token)) return;
  this->orders.UpdateClock(answer, now);
  if (answer.outcome == OrderOutcome::kFenced) {
    this->orders.ReplaceToken(order.token);
  }
  // The completion arrives with a list; until then the stop order is repeated.
}

void LeasedUpstream::OnListAnswer(ListNumber number, const ListAnswer& list,
                                  SteadyTime now) {
  if (this->successor && this->successor->IsProbe(number)) {
    this->OnProbeAnswer(list, now);
    return;
  }
  const std::optional<ListRequest> request =
      this->orders.OnListAnswer(number, list.answer, now);
  if (!request) return;
  if (list.answer.outcome == OrderOutcome::kFenced) {
    this->RequestList(Duration(), now);
    return;
  }
  const bool restarted =
      this->upstream && IsFromOther(list, this->upstream->incarnation);
  if (list.answer.outcome == OrderOutcome::kConnectionRefused) {
    this->refused_since_answer = true;
  }
  if (this->IsContactBroken(number, list.answer.outcome)) {
    this->ReportContactBroken(now);
  }
  if (list.answer.outcome != OrderOutcome::kDone || restarted) {
    this->next_list = now + kListRetryDelay;
    this->RecordFailure(now);
    return;
  }
  this->RecordAnswer(now);
  this->Complete(this->tasks.TakeCompletions(list), now);
  this->Complete(this->tasks.Reconcile(number, request->token, list), now);
  const bool none_found = this->StopUnknownRuns(list);
  if (!this->unknown_runs_stopped) {
    if (none_found) {
      this->unknown_runs_stopped = true;
      this->reporter.Announce(*this->upstream);
    } else {
      this->next_list = now + kListRetryDelay;
    }
    return;
  }
  this->RequestListIfDue(now);
}

void LeasedUpstream::OnProbeAnswer(const ListAnswer& list, SteadyTime now) {
  this->orders.OnProbeAnswer(list.answer);
  this->successor->OnProbeAnswer(list, this->upstream->incarnation, now);
  const bool other_answered =
      list.answer.outcome == OrderOutcome::kOtherIncarnation ||
      list.answer.outcome == OrderOutcome::kDone;
  if (other_answered && !this->successor->is_alive()) {
    this->successor.reset();
    return;
  }
  this->FollowSuccessor(now);
}

bool LeasedUpstream::StopUnknownRuns(const ListAnswer& list) {
  bool none_found = true;
  for (const TaskRun& run : list.running) {
    if (this->tasks.IsKnown(run)) continue;
    none_found = false;
    this->reporter.Add(this->orders.Stop(*this->upstream, run));
  }
  return none_found;
}

void LeasedUpstream::Tick(SteadyTime now) {
  if (!this->upstream) return;
  this->orders.SupersedeOverdueLists(now);
  this->orders.ForgetListsOlderThan(
      this->settings.list_poll_timeout + kListForgottenAfter, now);
  for (UpstreamTask* const task : this->tasks.DueStops(now)) {
    this->OrderStop(*task, now);
  }
  const bool unresponsive = this->responses.IsUnresponsive(now);
  const bool needs_list = !this->tasks.empty() || !this->unknown_runs_stopped;
  if (needs_list && unresponsive) {
    this->reporter.SetContact(UpstreamContact::kSilent);
  }
  if (unresponsive) this->CompleteExpired(now);
  this->FollowSuccessor(now);
  const bool departed = this->departure_noticed && this->tasks.empty() &&
                        this->reporter.contact() == UpstreamContact::kSilent;
  if (departed) {
    this->EndSession();
    return;
  }
  this->RequestListIfDue(now);
}

void LeasedUpstream::RequestListIfDue(SteadyTime now) {
  const bool unresponsive =
      this->reporter.contact() == UpstreamContact::kSilent;
  // While another incarnation may have replaced this one, an answer shows that
  // it has not.
  const bool needs_list = !this->tasks.empty() || !this->unknown_runs_stopped ||
                          unresponsive || this->successor.has_value();
  if (!this->upstream || !needs_list) return;
  const ListRequests& lists = this->orders.unanswered_lists();
  if (now < this->next_list || lists.HasTimelyRequest(now)) return;
  // While the answer to an earlier request is overdue, the next request asks
  // for an immediate answer, since completions may have been missed.
  const bool long_poll =
      this->unknown_runs_stopped && !unresponsive && lists.empty();
  this->RequestList(long_poll ? this->settings.list_poll_timeout : Duration(),
                    now);
}

void LeasedUpstream::RequestList(Duration poll_timeout, SteadyTime now) {
  // Runs that this session did not start must stop.
  const bool renews = !this->tasks.empty() && this->unknown_runs_stopped &&
                      this->renewal == LeaseRenewal::kAllowed &&
                      this->reporter.contact() == UpstreamContact::kAnswering &&
                      !this->responses.IsUnresponsive(now);
  this->reporter.Add(this->orders.List(
      *this->upstream, this->tasks.acknowledged(), poll_timeout,
      renews ? LeaseRenewal::kAllowed : LeaseRenewal::kSuspended, now));
}

void LeasedUpstream::Complete(const EndedTask& ended, SteadyTime now) {
  const std::optional<UpstreamTask> task = this->tasks.Remove(ended.name);
  if (!task) return;
  const auto elapsed =
      std::chrono::duration_cast<Duration>(now - task->started_at);
  this->reporter.ReportCompletion(task->id, ended.result, elapsed);
}

void LeasedUpstream::Complete(const std::vector<EndedTask>& ended,
                              SteadyTime now) {
  for (const EndedTask& task : ended) this->Complete(task, now);
}

void LeasedUpstream::CompleteExpired(SteadyTime now) {
  std::vector<std::string> ended;
  for (const StartConfirmation starts :
       {StartConfirmation::kConfirmed, StartConfirmation::kUnconfirmed}) {
    if (!this->orders.AllLeasesExpired(starts, now)) continue;
    const std::vector<std::string> names = this->tasks.Names(starts);
    ended.insert(ended.end(), names.begin(), names.end());
  }
  if (ended.empty()) return;
  this->orders.Supersede();
  // While renewal is suspended, the leases expire because this process was
  // frozen or cut off, which says nothing about the upstream.
  const bool renews = this->renewal == LeaseRenewal::kAllowed;
  // One that is merely silent may be cut off or overloaded.
  if (renews && !this->IsEndPlanned() && this->refused_since_answer) {
    this->ReportLoss(LossEvidence::kSilent);
  }
  this->ReportEnd(SessionEndEvidence::kLeasesExpired);
  for (const std::string& name : ended) {
    this->Complete({name, UpstreamResult::kBroken}, now);
  }
}

bool LeasedUpstream::IsEndPlanned() const {
  return this->departure_noticed ||
         this->upstream->state == UpstreamState::kLeaving;
}

void LeasedUpstream::ReportLoss(LossEvidence evidence) {
  if (this->tasks.empty() || this->loss_reported) return;
  this->loss_reported = true;
  this->reporter.Add(UpstreamLost{this->upstream->incarnation.id, evidence});
}

void LeasedUpstream::ReportEnd(SessionEndEvidence evidence) {
  this->reporter.Add(
      SessionEnded{this->upstream->incarnation, evidence, this->tasks.size()});
}

void LeasedUpstream::RecordAnswer(SteadyTime now) {
  this->refused_since_answer = false;
  this->loss_reported = false;
  this->responses.RecordAnswer(now);
  if (this->unknown_runs_stopped) {
    this->reporter.SetContact(UpstreamContact::kAnswering);
  }
}

void LeasedUpstream::RecordFailure(SteadyTime now) {
  const bool is_first =
      this->responses.RecordFailure(this->orders.next_list(), now);
  if (is_first) this->RequestList(Duration(), now);
  if (this->responses.IsUnresponsive(now)) {
    this->reporter.SetContact(UpstreamContact::kSilent);
  }
}

bool LeasedUpstream::IsContactBroken(ListNumber number,
                                     OrderOutcome outcome) const {
  return outcome == OrderOutcome::kConnectionRefused &&
         this->responses.IsAfterFailure(number) &&
         this->reporter.contact() == UpstreamContact::kAnswering;
}

void LeasedUpstream::ReportContactBroken(SteadyTime now) {
  if (!this->IsEndPlanned() && !this->tasks.empty()) {
    this->reporter.Add(UpstreamContactBroken{this->upstream->incarnation.id,
                                             this->responses.FailureAge(now)});
  }
  this->reporter.SetContact(UpstreamContact::kSilent);
}

}  // namespace dandelionspur
