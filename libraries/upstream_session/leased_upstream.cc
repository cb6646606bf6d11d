#include "libraries/upstream_session/leased_upstream.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

// The upstream answers within milliseconds of the end of its patience; after
// this the answer is taken for lost, and a new list is asked for.
constexpr Duration kListOverdue = std::chrono::milliseconds(60);
// Without an answer for this long, the upstream counts as silent and gets no
// new tasks.
constexpr Duration kSilentAfter = std::chrono::milliseconds(600);
// Without an answer for this long, its lease is not extended any more, so that
// what runs there is surely over soon.
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(1200);
// Pause after a list that failed.
constexpr Duration kListRetry = std::chrono::milliseconds(50);
constexpr Duration kStopRetry = std::chrono::milliseconds(150);
// Orders of one run before it counts as refused.
constexpr std::uint32_t kMaximumOrders = 20;
// A token that is too low is raised by this much, as the one that the upstream
// has seen is not known.
constexpr std::uint64_t kTokenLeap = 1000;
// Names of tasks whose last run is remembered.
constexpr std::size_t kMaximumRememberedRuns = 20'000;

}  // namespace

LeasedUpstream::LeasedUpstream(const LeasedUpstreamSettings& configured)
    : settings(configured), token(configured.first_token) {}

std::vector<SessionEffect> LeasedUpstream::TakeEffects() {
  return std::exchange(this->effects, {});
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
  const UpstreamIncarnation& known = this->upstream->incarnation;
  const UpstreamIncarnation& told = heartbeat.incarnation;
  if (told != known) {
    // One that was held up on its way may be of an earlier incarnation.
    if (told.started_milliseconds < known.started_milliseconds) return;
    this->EndAll(UpstreamResult::kBroken, now);
    this->Adopt(heartbeat, now);
    return;
  }
  if (heartbeat.sequence <= this->upstream->sequence) return;
  const bool changed = heartbeat.capacity != this->upstream->capacity ||
                       heartbeat.service != this->upstream->service ||
                       heartbeat.endpoint != this->upstream->endpoint;
  const bool returned = heartbeat.state == UpstreamState::kReady &&
                        this->upstream->state == UpstreamState::kLeaving;
  this->upstream = heartbeat;
  this->clock = heartbeat.clock;
  this->clock_read_at = now;
  if (heartbeat.state == UpstreamState::kLeaving) {
    if (!this->leaving_told) this->effects.emplace_back(UpstreamLeaving{});
    this->leaving_told = true;
    return;
  }
  if (this->cleared && (changed || returned)) this->Announce();
}

void LeasedUpstream::Adopt(const UpstreamHeartbeat& heartbeat, SteadyTime now) {
  this->upstream = heartbeat;
  this->clock = heartbeat.clock;
  this->clock_read_at = now;
  this->acknowledged = EndNumber();
  this->lists.clear();
  this->cleared = false;
  this->leaving_told = false;
  this->last_answer = now;
  this->AskForList(Duration(), now);
}

void LeasedUpstream::Announce() {
  const UpstreamHeartbeat& heartbeat = *this->upstream;
  AgentDescription description;
  description.service = heartbeat.service;
  description.upstream = heartbeat.incarnation.id;
  description.capacity = heartbeat.capacity;
  if (!heartbeat.labels.empty()) description.rack = heartbeat.labels.back();
  this->contact = UpstreamContact::kAnswering;
  this->leaving_told = false;
  this->effects.emplace_back(UpstreamAnnounced{description});
  if (heartbeat.state != UpstreamState::kLeaving) return;
  this->leaving_told = true;
  this->effects.emplace_back(UpstreamLeaving{});
}

void LeasedUpstream::OnGone(const UpstreamGone& gone, SteadyTime now) {
  if (!this->upstream || this->upstream->incarnation.id != gone.id) return;
  this->EndAll(UpstreamResult::kBroken, now);
  this->lists.clear();
  this->cleared = false;
  this->SetContact(UpstreamContact::kSilent);
  this->upstream.reset();
}

void LeasedUpstream::Run(const RunOnUpstream& wanted, SteadyTime now) {
  const std::string name =
      UpstreamTaskName(wanted.job_name, wanted.task.task.value());
  if (!this->upstream || !this->cleared || this->tasks.contains(name)) {
    this->effects.emplace_back(UpstreamEnded{
        wanted.task, UpstreamResult::kNotSent, Payload(), Duration()});
    return;
  }
  if (this->renewal == LeaseRenewal::kSuspended) {
    this->effects.emplace_back(UpstreamEnded{
        wanted.task, UpstreamResult::kNoContact, Payload(), Duration()});
    return;
  }
  // While nothing ran, nothing was asked.
  if (this->tasks.empty()) this->last_answer = now;
  Task task;
  task.id = wanted.task;
  task.run = {name, this->NextRun(name)};
  task.body = wanted.body;
  task.began = now;
  this->names[wanted.task] = name;
  Task& kept = this->tasks.emplace(name, std::move(task)).first->second;
  this->SendOrder(kept, now);
  this->KeepListing(now);
}

void LeasedUpstream::Stop(const TaskId& task, SteadyTime now) {
  const auto name = this->names.find(task);
  if (name == this->names.end()) return;
  Task& stopped = this->tasks.at(name->second);
  stopped.stop_wanted = true;
  this->SendStopOf(stopped, now);
}

void LeasedUpstream::SendOrder(Task& task, SteadyTime now) {
  ++task.orders;
  task.phase = Phase::kOrdered;
  task.token = this->token;
  const StartOrder order{task.run, task.body.bytes(), this->ExtendLease(now),
                         this->token};
  this->effects.emplace_back(SendStart{*this->upstream, order});
}

void LeasedUpstream::SendStopOf(Task& task, SteadyTime now) {
  task.next_stop = now + kStopRetry;
  this->effects.emplace_back(
      SendStop{*this->upstream, StopOrder{task.run, this->token}});
}

void LeasedUpstream::OnStartAnswer(const StartOrder& order,
                                   const OrderAnswer& answer, SteadyTime now) {
  this->NoteClock(answer, now);
  Task* task = this->Find(order.run);
  const bool awaited = task != nullptr && task->phase == Phase::kOrdered &&
                       task->token == order.token;
  if (!awaited) return;
  const std::string name = order.run.task;
  const bool may_repeat = task->orders < kMaximumOrders;
  switch (answer.outcome) {
    case OrderOutcome::kDone:
      this->NoteAnswered(now);
      task->phase = Phase::kRunning;
      task->listed_from = ListNumber(this->last_list + 1);
      return;
    case OrderOutcome::kFenced:
      this->LeapAbove(order.token);
      break;
    case OrderOutcome::kOldRun:
      task->run.run = this->NextRun(name);
      break;
    case OrderOutcome::kLate:
      break;
    case OrderOutcome::kNoRoom:
      this->End(name, UpstreamResult::kNoRoom, now);
      return;
    case OrderOutcome::kUnknown:
      task->phase = Phase::kUnsettled;
      this->RaiseToken();
      this->AskForList(Duration(), now);
      return;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kOtherIncarnation:
      this->NoteFailed(now);
      this->End(name, UpstreamResult::kNotSent, now);
      return;
    case OrderOutcome::kRefused:
      this->End(name, UpstreamResult::kNotSent, now);
      return;
  }
  if (this->renewal == LeaseRenewal::kSuspended) {
    this->End(name, UpstreamResult::kNoContact, now);
  } else if (may_repeat && !task->stop_wanted) {
    this->SendOrder(*task, now);
  } else {
    this->End(name, UpstreamResult::kNotSent, now);
  }
}

void LeasedUpstream::OnStopAnswer(const StopOrder& order,
                                  const OrderAnswer& answer, SteadyTime now) {
  this->NoteClock(answer, now);
  if (answer.outcome == OrderOutcome::kFenced) this->LeapAbove(order.token);
  // The end comes with a list; until then the stop is repeated.
}

void LeasedUpstream::OnListAnswer(ListNumber number, const ListAnswer& list,
                                  SteadyTime now) {
  const auto found = this->lists.find(number);
  if (found == this->lists.end()) return;
  const PendingList asked = found->second;
  this->lists.erase(found);
  this->NoteClock(list.answer, now);
  if (list.answer.outcome == OrderOutcome::kFenced) {
    this->LeapAbove(asked.token);
    this->AskForList(Duration(), now);
    return;
  }
  const bool reborn = list.started_milliseconds != 0 && this->upstream &&
                      this->upstream->incarnation.started_milliseconds != 0 &&
                      list.started_milliseconds !=
                          this->upstream->incarnation.started_milliseconds;
  if (list.answer.outcome != OrderOutcome::kDone || reborn) {
    this->NoteFailed(now);
    this->next_list = now + kListRetry;
    return;
  }
  this->NoteAnswered(now);
  this->TakeEnds(list, now);
  this->Reconcile(number, asked, list, now);
  const bool clear = this->StopStrangers(list);
  if (!this->cleared) {
    if (clear) {
      this->cleared = true;
      this->Announce();
    } else {
      this->next_list = now + kListRetry;
    }
    return;
  }
  this->KeepListing(now);
}

void LeasedUpstream::TakeEnds(const ListAnswer& list, SteadyTime now) {
  for (const EndedRun& ended : list.ended) {
    if (ended.number <= this->acknowledged) continue;
    this->acknowledged = ended.number;
    if (this->Find(ended.run) == nullptr) continue;
    UpstreamResult result = UpstreamResult::kBroken;
    if (ended.how == RunEnd::kDone) result = UpstreamResult::kSucceeded;
    if (ended.how == RunEnd::kFailed) result = UpstreamResult::kFailed;
    this->End(ended.run.task, result, now);
  }
}

void LeasedUpstream::Reconcile(ListNumber number, const PendingList& asked,
                               const ListAnswer& list, SteadyTime now) {
  // More ends may follow, so what is not listed yet means nothing.
  if (list.ended.size() >= kMaximumListedEnds) return;
  const std::set<TaskRun> running(list.running.begin(), list.running.end());
  std::vector<std::string> over;
  std::vector<std::string> never_began;
  for (auto& [name, task] : this->tasks) {
    const bool is_there = running.contains(task.run);
    if (task.phase == Phase::kUnsettled && asked.token > task.token) {
      if (is_there) {
        task.phase = Phase::kRunning;
        task.listed_from = number;
      } else {
        never_began.push_back(name);
      }
    } else if (task.phase == Phase::kRunning && !is_there &&
               number >= task.listed_from) {
      over.push_back(name);
    }
  }
  for (const std::string& name : never_began) {
    this->End(name, UpstreamResult::kUnanswered, now);
  }
  for (const std::string& name : over) {
    this->End(name, UpstreamResult::kBroken, now);
  }
}

bool LeasedUpstream::StopStrangers(const ListAnswer& list) {
  bool clear = true;
  for (const TaskRun& run : list.running) {
    const auto known = this->tasks.find(run.task);
    if (known != this->tasks.end() && known->second.run.run >= run.run) {
      continue;
    }
    clear = false;
    this->effects.emplace_back(
        SendStop{*this->upstream, StopOrder{run, this->token}});
  }
  return clear;
}

void LeasedUpstream::Tick(SteadyTime now) {
  if (!this->upstream) return;
  // The answers to these are long overdue.
  const Duration longest = this->settings.list_patience + kSilentAfter;
  std::erase_if(this->lists, [&](const auto& item) {
    return now - item.second.sent_at > longest + kGiveUpAfter;
  });
  for (auto& [name, task] : this->tasks) {
    if (task.stop_wanted && now >= task.next_stop) this->SendStopOf(task, now);
  }
  const bool silent = now - this->last_answer > kSilentAfter;
  const bool waits = !this->tasks.empty() || !this->cleared;
  if (waits && silent) this->SetContact(UpstreamContact::kSilent);
  if (!this->tasks.empty() && silent && now > this->lease_over) {
    this->RaiseToken();
    this->EndAll(UpstreamResult::kBroken, now);
  }
  this->KeepListing(now);
}

void LeasedUpstream::KeepListing(SteadyTime now) {
  const bool silent = this->contact == UpstreamContact::kSilent;
  const bool waits = !this->tasks.empty() || !this->cleared || silent;
  if (!this->upstream || !waits) return;
  if (now < this->next_list || this->AwaitsTimelyList(now)) return;
  // After one whose answer is overdue, the next is answered at once: ends may
  // have been missed.
  const bool patient = this->cleared && !silent && this->lists.empty();
  this->AskForList(patient ? this->settings.list_patience : Duration(), now);
}

bool LeasedUpstream::AwaitsTimelyList(SteadyTime now) const {
  return std::any_of(
      this->lists.begin(), this->lists.end(), [&](const auto& item) {
        const PendingList& list = item.second;
        return now <= list.sent_at + list.patience + kListOverdue;
      });
}

void LeasedUpstream::AskForList(Duration patience, SteadyTime now) {
  const ListNumber number(++this->last_list);
  this->lists.emplace(number, PendingList{this->token, now, patience});
  ListOrder order;
  order.token = this->token;
  order.acknowledged = this->acknowledged;
  order.patience = patience;
  const bool renews = !this->tasks.empty() &&
                      this->renewal == LeaseRenewal::kAllowed &&
                      now - this->last_answer <= kGiveUpAfter;
  if (renews) {
    order.lease_until = this->ExtendLease(now);
  }
  this->effects.emplace_back(SendList{*this->upstream, number, order});
}

void LeasedUpstream::End(const std::string& name, UpstreamResult result,
                         SteadyTime now) {
  const auto found = this->tasks.find(name);
  if (found == this->tasks.end()) return;
  const Task task = std::move(found->second);
  this->tasks.erase(found);
  this->names.erase(task.id);
  const auto elapsed = std::chrono::duration_cast<Duration>(now - task.began);
  this->effects.emplace_back(
      UpstreamEnded{task.id, result, Payload(), elapsed});
}

void LeasedUpstream::EndAll(UpstreamResult result, SteadyTime now) {
  std::vector<std::string> all;
  for (const auto& [name, task] : this->tasks) all.push_back(name);
  for (const std::string& name : all) this->End(name, result, now);
}

Duration LeasedUpstream::ExtendLease(SteadyTime now) {
  this->lease_over = now + MaximumLeaseRunTime(this->settings.maximum_lease);
  return this->UpstreamClock(now) + this->settings.maximum_lease;
}

void LeasedUpstream::LeapAbove(FencingToken refused) {
  // Other orders under the same token may have been refused before.
  if (refused != this->token) return;
  this->token = FencingToken(this->token.value() + kTokenLeap);
}

void LeasedUpstream::RaiseToken() {
  this->token = FencingToken(this->token.value() + 1);
}

void LeasedUpstream::NoteClock(const OrderAnswer& answer, SteadyTime now) {
  if (!answer.clock) return;
  // An answer that was held up tells an old time; what is later is right.
  if (*answer.clock < this->UpstreamClock(now) - this->settings.maximum_lease) {
    return;
  }
  this->clock = *answer.clock;
  this->clock_read_at = now;
}

void LeasedUpstream::NoteAnswered(SteadyTime now) {
  this->last_answer = now;
  if (this->cleared) this->SetContact(UpstreamContact::kAnswering);
}

void LeasedUpstream::NoteFailed(SteadyTime now) {
  if (now - this->last_answer > kSilentAfter) {
    this->SetContact(UpstreamContact::kSilent);
  }
}

void LeasedUpstream::SetContact(UpstreamContact wanted) {
  if (wanted == this->contact) return;
  this->contact = wanted;
  this->effects.emplace_back(UpstreamContactChanged{wanted});
}

Duration LeasedUpstream::UpstreamClock(SteadyTime now) const {
  return this->clock +
         std::chrono::duration_cast<Duration>(now - this->clock_read_at);
}

LeasedUpstream::Task* LeasedUpstream::Find(const TaskRun& run) {
  const auto found = this->tasks.find(run.task);
  const bool same = found != this->tasks.end() && found->second.run == run;
  return same ? &found->second : nullptr;
}

RunNumber LeasedUpstream::NextRun(const std::string& name) {
  // Forgotten numbers cost an order that is refused as old.
  if (this->last_runs.size() >= kMaximumRememberedRuns) {
    this->last_runs.clear();
  }
  RunNumber& last = this->last_runs[name];
  last = RunNumber(last.value() + 1);
  return last;
}

}  // namespace dandelionspur
