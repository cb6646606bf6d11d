#include "libraries/entry_core/service_state.h"

#include <algorithm>

namespace dandelionspur {
namespace {

// A second of waiting counts like this part of a second of remaining work.
constexpr std::int64_t kAgeingDivisor = 2;
constexpr double kRetryReserve = 100;
constexpr double kPercent = 100;
constexpr double kAverageWeight = 0.05;
constexpr double kMaximumRatio = 20;
// A job is started so early that it is in time also where its tasks take this
// much longer than tasks do on average.
constexpr double kMargin = 1.25;

}  // namespace

ServiceState::ServiceState(const ServiceDocument& document,
                           std::uint64_t placement_seed)
    : in_force(document),
      policy(MakePlacement(document.placement, placement_seed)),
      seed(placement_seed),
      retry_tokens(kRetryReserve) {
  this->Apply(document);
}

void ServiceState::Apply(const ServiceDocument& document) {
  if (document.placement != this->in_force.placement) {
    this->policy = MakePlacement(document.placement, this->seed);
  }
  this->in_force = document;
  for (auto& [name, team] : this->teams) {
    team.weight = 1;
    team.maximum_running = UINT32_MAX;
  }
  for (const TeamPolicy& declared : document.teams) {
    TeamState& team = this->Team(declared.team);
    team.weight = declared.weight;
    team.maximum_running = declared.maximum_running;
  }
}

bool ServiceState::Admits(const TeamName& team) const {
  if (this->in_force.teams.empty()) return true;
  return std::any_of(
      this->in_force.teams.begin(), this->in_force.teams.end(),
      [&](const TeamPolicy& declared) { return declared.team == team; });
}

void ServiceState::Enqueue(HomeJob& job, std::int64_t cores) {
  if (job.is_queued || job.queued.empty()) return;
  job.rank = job.accepted_at.time_since_epoch().count() / kAgeingDivisor;
  if (this->in_force.order == OrderKind::kShortestRemaining) {
    job.rank += job.queued_work.count() / cores;
  }
  if (this->in_force.order == OrderKind::kLeastSlack) {
    const Timestamp rank = job.is_late
                               ? job.DueAt()
                               : job.LatestStart(this->error_ratio * kMargin);
    job.rank = rank.time_since_epoch().count();
  }
  job.is_queued = true;
  TeamState& team = this->Team(job.submission.team);
  (job.is_late ? team.late : team.jobs).insert({job.rank, job.submission.key});
}

void ServiceState::Dequeue(HomeJob& job) {
  if (!job.is_queued) return;
  job.is_queued = false;
  TeamState& team = this->Team(job.submission.team);
  (job.is_late ? team.late : team.jobs).erase({job.rank, job.submission.key});
}

std::optional<JobKey> ServiceState::Next() const {
  const TeamState* best = nullptr;
  for (const auto& [name, team] : this->teams) {
    if (team.IsIdle() || team.running >= team.maximum_running) continue;
    if (best == nullptr) {
      best = &team;
      continue;
    }
    const std::uint64_t share =
        static_cast<std::uint64_t>(team.running) * best->weight;
    const std::uint64_t best_share =
        static_cast<std::uint64_t>(best->running) * team.weight;
    if (share < best_share) best = &team;
  }
  if (best == nullptr) return std::nullopt;
  const std::set<Position>& line = best->jobs.empty() ? best->late : best->jobs;
  return line.begin()->key;
}

std::vector<JobKey> ServiceState::Overdue(Timestamp now) const {
  std::vector<JobKey> overdue;
  if (this->in_force.order != OrderKind::kLeastSlack) return overdue;
  const std::int64_t latest = now.time_since_epoch().count();
  for (const auto& [name, team] : this->teams) {
    for (const Position& position : team.jobs) {
      if (position.rank >= latest) break;
      overdue.push_back(position.key);
    }
  }
  return overdue;
}

void ServiceState::TaskQueued(Duration core_time) {
  ++this->queued_count;
  this->queued_total += core_time;
}

void ServiceState::TaskUnqueued(Duration core_time) {
  --this->queued_count;
  this->queued_total -= core_time;
}

void ServiceState::TaskStarted(const TeamName& team) {
  ++this->Team(team).running;
  this->retry_tokens =
      std::min(kRetryReserve,
               this->retry_tokens + this->in_force.retry_percent / kPercent);
}

void ServiceState::TaskEnded(const TeamName& team) {
  TeamState& state = this->Team(team);
  if (state.running > 0) --state.running;
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
}

ServiceState::TeamState& ServiceState::Team(const TeamName& team) {
  return this->teams[team];
}

}  // namespace dandelionspur
