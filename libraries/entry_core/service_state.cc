#include "libraries/entry_core/service_state.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// Two seconds of waiting offset one second of remaining work in a job's rank.
constexpr std::int64_t kAgeingDivisor = 2;
constexpr double kRetryReserve = 100;
constexpr double kPercent = 100;
constexpr double kAverageWeight = 0.05;
constexpr double kMaximumRatio = 20;
constexpr std::int64_t kRunTimeDivisor = 16;
// The latest start of a job is computed for tasks that take this many times as
// long as the average, so that jobs with slower tasks are still in time.
constexpr double kStretchMargin = 1.25;

PlacementKind PlacementOf(const ServiceDocument& document) {
  return document.placement.value_or(PlacementKind::kFastestFree);
}

}  // namespace

PlacementKind ServiceState::placement_kind() const {
  return PlacementOf(this->in_force);
}

ServiceState::ServiceState(const ServiceDocument& document,
                           std::uint64_t placement_seed)
    : in_force(document),
      policy(MakePlacement(PlacementOf(document), placement_seed)),
      seed(placement_seed),
      retry_tokens(kRetryReserve) {
  this->Apply(document);
}

void ServiceState::Apply(const ServiceDocument& document) {
  if (PlacementOf(document) != this->placement_kind()) {
    this->policy = MakePlacement(PlacementOf(document), this->seed);
  }
  this->in_force = document;
  if (!this->KeepsApart()) this->estimator.Clear();
  for (auto& [name, client_account] : this->client_accounts) {
    client_account.weight = 1;
    client_account.maximum_running = UINT32_MAX;
  }
  for (const ClientAccountPolicy& declared : document.client_accounts) {
    AccountState& client_account = this->Account(declared.client_account);
    client_account.weight = declared.weight;
    client_account.maximum_running = declared.maximum_running;
  }
}

bool ServiceState::Admits(const ClientAccount& client_account) const {
  return this->in_force.client_accounts.empty() ||
         this->IsNamed(client_account);
}

bool ServiceState::IsNamed(const ClientAccount& client_account) const {
  return std::any_of(this->in_force.client_accounts.begin(),
                     this->in_force.client_accounts.end(),
                     [&](const ClientAccountPolicy& declared) {
                       return declared.client_account == client_account;
                     });
}

void ServiceState::ForgetIfIdle(const ClientAccount& client_account) {
  const auto found = this->client_accounts.find(client_account);
  if (found == this->client_accounts.end()) return;
  const AccountState& state = found->second;
  const bool is_idle = state.queue.IsIdle() && state.running == 0;
  if (is_idle && !this->IsNamed(client_account)) {
    this->client_accounts.erase(found);
  }
}

void ServiceState::Enqueue(HomeJob& job, std::int64_t cores) {
  if (job.is_queued || job.queued.empty()) return;
  job.rank = job.accepted_at.time_since_epoch().count() / kAgeingDivisor;
  if (this->in_force.order == OrderKind::kShortestRemaining) {
    job.rank += job.queued_work.count() / cores;
  }
  if (this->in_force.order == OrderKind::kLeastSlack) {
    const Timestamp rank =
        job.is_late ? job.DueAt()
                    : job.LatestStart(this->error_ratio * kStretchMargin);
    job.rank = rank.time_since_epoch().count();
  }
  job.is_queued = true;
  job.is_quarantined = this->isolation.Contains(job.submission.group);
  this->PositionsOf(job).insert(
      {job.rank, job.submission.key, job.submission.priority});
  if (job.is_late) this->queued_late += job.queued_work;
}

void ServiceState::Dequeue(HomeJob& job) {
  if (!job.is_queued) return;
  job.is_queued = false;
  this->PositionsOf(job).erase(
      {job.rank, job.submission.key, job.submission.priority});
  if (job.is_late) this->queued_late -= job.queued_work;
  this->ForgetIfIdle(job.submission.client_account);
}

Backlog ServiceState::OwnBacklog() const {
  // Other upstreams than the peers' jobs need run the quarantined groups.
  Duration quarantined_work{};
  for (const JobGroupId group : this->isolation.Groups()) {
    quarantined_work += this->QueuedWorkOf(group);
  }
  const Duration in_time =
      this->queued_total - this->queued_late - quarantined_work;
  return {std::max(Duration(), in_time), this->queued_late};
}

std::set<ServiceState::Position>& ServiceState::PositionsOf(
    const HomeJob& job) {
  Queue& queue = job.is_quarantined
                     ? this->quarantined[job.submission.group]
                     : this->Account(job.submission.client_account).queue;
  return job.is_late ? queue.late : queue.jobs;
}

std::optional<JobKey> ServiceState::Next() const {
  const AccountState* best = nullptr;
  for (const auto& [name, client_account] : this->client_accounts) {
    if (client_account.queue.IsIdle() ||
        client_account.running >= client_account.maximum_running) {
      continue;
    }
    if (best == nullptr) {
      best = &client_account;
      continue;
    }
    const std::uint64_t share =
        static_cast<std::uint64_t>(client_account.running) * best->weight;
    const std::uint64_t best_share =
        static_cast<std::uint64_t>(best->running) * client_account.weight;
    if (share < best_share) best = &client_account;
  }
  if (best == nullptr) return std::nullopt;
  return best->queue.First();
}

std::optional<JobKey> ServiceState::NextAbove(std::uint32_t priority) const {
  if (priority == 0) return std::nullopt;
  const Position* best = nullptr;
  for (const auto& [name, client_account] : this->client_accounts) {
    if (client_account.running >= client_account.maximum_running) continue;
    const std::set<Position>& jobs = client_account.queue.jobs;
    const auto found = std::find_if(
        jobs.begin(), jobs.end(),
        [&](const Position& position) { return position.priority < priority; });
    if (found == jobs.end()) continue;
    if (best == nullptr || *found < *best) best = &*found;
  }
  if (best == nullptr) return std::nullopt;
  return best->key;
}

std::optional<JobKey> ServiceState::NextOf(JobGroupId group) const {
  const auto found = this->quarantined.find(group);
  const bool is_idle =
      found == this->quarantined.end() || found->second.IsIdle();
  if (is_idle) return std::nullopt;
  return found->second.First();
}

std::vector<JobKey> ServiceState::JobsOf(JobGroupId group) const {
  std::vector<JobKey> keys;
  const auto found = this->quarantined.find(group);
  if (found == this->quarantined.end()) return keys;
  for (const auto* positions : {&found->second.jobs, &found->second.late}) {
    for (const Position& position : *positions) keys.push_back(position.key);
  }
  return keys;
}

std::vector<const ServiceState::Queue*> ServiceState::Queues() const {
  std::vector<const Queue*> queues;
  for (const auto& [name, client_account] : this->client_accounts) {
    queues.push_back(&client_account.queue);
  }
  for (const auto& [group, queue] : this->quarantined) queues.push_back(&queue);
  return queues;
}

std::vector<JobKey> ServiceState::OverdueJobs(Timestamp now) const {
  std::vector<JobKey> overdue;
  if (this->in_force.order != OrderKind::kLeastSlack) return overdue;
  const std::int64_t latest = now.time_since_epoch().count();
  for (const Queue* queue : this->Queues()) {
    for (const Position& position : queue->jobs) {
      if (position.rank >= latest) break;
      overdue.push_back(position.key);
    }
  }
  return overdue;
}

std::vector<JobKey> ServiceState::LateJobs() const {
  std::vector<JobKey> late;
  for (const Queue* queue : this->Queues()) {
    for (const Position& position : queue->late) {
      late.push_back(position.key);
    }
  }
  return late;
}

void ServiceState::TaskQueued(JobGroupId group, Duration core_time) {
  ++this->queued_count;
  this->queued_total += core_time;
  this->queued_of_groups[group] += core_time;
}

void ServiceState::TaskUnqueued(JobGroupId group, Duration core_time) {
  --this->queued_count;
  this->queued_total -= core_time;
  const auto found = this->queued_of_groups.find(group);
  // Tasks without a known time count as no work.
  if (found == this->queued_of_groups.end()) return;
  found->second -= core_time;
  if (found->second <= Duration()) this->queued_of_groups.erase(found);
}

Duration ServiceState::QueuedWorkOf(JobGroupId group) const {
  const auto found = this->queued_of_groups.find(group);
  return found == this->queued_of_groups.end() ? Duration() : found->second;
}

void ServiceState::TaskStarted(const ClientAccount& client_account) {
  ++this->Account(client_account).running;
  this->retry_tokens =
      std::min(kRetryReserve,
               this->retry_tokens + this->in_force.retry_percent / kPercent);
}

void ServiceState::TaskEnded(const ClientAccount& client_account) {
  AccountState& state = this->Account(client_account);
  if (state.running > 0) --state.running;
  this->ForgetIfIdle(client_account);
}

bool ServiceState::TakeRetry() {
  if (this->retry_tokens < 1) return false;
  this->retry_tokens -= 1;
  return true;
}

void ServiceState::ObserveTask(Duration declared, Duration elapsed) {
  if (declared <= Duration() || elapsed <= Duration()) return;
  const double ratio =
      std::min(kMaximumRatio, static_cast<double>(elapsed.count()) /
                                  static_cast<double>(declared.count()));
  this->error_ratio += kAverageWeight * (ratio - this->error_ratio);
  this->run_time += (elapsed - this->run_time) / kRunTimeDivisor;
}

ServiceState::AccountState& ServiceState::Account(
    const ClientAccount& client_account) {
  return this->client_accounts[client_account];
}

}  // namespace dandelionspur
