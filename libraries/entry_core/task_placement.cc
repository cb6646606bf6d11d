#include "libraries/entry_core/task_placement.h"

#include <algorithm>
#include <limits>
#include <set>
#include <variant>

#include "libraries/entry_core/candidate_verdict.h"

namespace dandelionspur {
namespace {

// An upstream where a larger share of the tasks fails gets no task that has
// failed before.
constexpr std::uint32_t kReliableFailedPercent = 10;

// Whether `reserve` is left free at the agent once the task runs there. An
// upstream of which it would be a large part keeps nothing free.
bool LeavesRoom(const KnownAgent& agent, const Resources& need,
                const Resources& reserve) {
  constexpr std::uint64_t kLargePartDivisor = 8;
  const bool is_large =
      reserve.millicores * kLargePartDivisor > agent.load.capacity.millicores;
  return is_large || agent.HasCapacityFor(need + reserve);
}

// What a task of the job must leave free at an upstream.
Resources ReserveFor(const HomeJob& job, ServiceState& service, Timestamp now) {
  if (service.placement_kind() != PlacementKind::kSoonestEnd) return {};
  return service.urgent_reserve().For(job.submission.priority, now);
}

// Whether tasks that are placed in this scope may run at the agent.
bool IsInScope(const KnownAgent& agent, PlacementScope scope,
               JobGroupId group) {
  const std::vector<JobGroupId>& groups = agent.quarantined_groups;
  switch (scope) {
    case PlacementScope::kOrdinary:
      return true;
    case PlacementScope::kOutsideQuarantines:
      return groups.empty();
    case PlacementScope::kInQuarantine:
      return std::find(groups.begin(), groups.end(), group) != groups.end();
  }
  return true;
}

// An upstream that is slower than another one by more than this factor costs a
// task more than most neighbours do.
constexpr double kMaximumDetour = 1.2;

using CandidateIterator = Candidates::const_iterator;

// Infinite if the range is empty.
double LowestSlowness(CandidateIterator begin, CandidateIterator end) {
  double lowest = std::numeric_limits<double>::infinity();
  for (CandidateIterator agent = begin; agent != end; ++agent) {
    lowest = std::min(lowest, (*agent)->slowness);
  }
  return lowest;
}

}  // namespace

std::optional<PlacementChoice> TaskPlacement::Choose(const HomeJob& job,
                                                     ServiceState& service,
                                                     Timestamp now) {
  const TaskIndex index = job.queued.back();
  const TaskRequest& task = job.submission.tasks[index.value()];
  const TaskId id{job.submission.key, index};
  const Quarantine& quarantine = service.quarantine();
  PlacementChoice choice;
  choice.scope = this->ScopeOf(job, task.need, quarantine, now);
  this->CollectCandidates(job, index, choice.scope,
                          ReserveFor(job, service, now), now);
  if (job.tasks[index.value()].failures > 0) this->KeepReliable();
  const PlacementRequest request{
      id, {task.need.millicores, task.declared, service.usual_run_time()}, now};
  if (service.placement_kind() == PlacementKind::kSoonestEnd) {
    choice.reason = PlacementReason::kSoonestEnd;
  }
  if (this->candidates.size() == 1) {
    choice.reason = PlacementReason::kOnlyCandidate;
  }
  if (this->KeepApartFromInterference(job, service)) {
    choice.reason = PlacementReason::kKeptApart;
  }
  if (this->losses.SuspectedCount(id) > 0) {
    this->KeepApartFromSuspects();
    LeastTaken least_taken;
    choice.agent = this->ChooseCandidate(job, least_taken, request);
  } else {
    choice.agent = std::visit(
        [&](auto& policy) {
          return this->ChooseCandidate(job, policy, request);
        },
        service.placement());
  }
  if (choice.agent == nullptr) return std::nullopt;
  if (job.tasks[index.value()].retried) {
    choice.reason = PlacementReason::kRetryElsewhere;
  }
  if (this->health.IsOnProbation(*choice.agent)) {
    choice.reason = PlacementReason::kProbation;
  }
  return choice;
}

PlacementPreview TaskPlacement::Preview(const HomeJob& job,
                                        ServiceState& service,
                                        Duration suspect_after, Timestamp now) {
  const TaskIndex index = job.queued.back();
  const Resources& need = job.submission.tasks[index.value()].need;
  const PlacementScope scope =
      this->ScopeOf(job, need, service.quarantine(), now);
  this->CollectCandidates(job, index, scope, ReserveFor(job, service, now),
                          now);
  const std::set<const KnownAgent*> collected(this->candidates.begin(),
                                              this->candidates.end());
  this->KeepApartFromInterference(job, service);
  const std::set<const KnownAgent*> apart(this->candidates.begin(),
                                          this->candidates.end());
  PlacementPreview preview;
  preview.scope = scope;
  const std::optional<PlacementChoice> choice = this->Choose(job, service, now);
  if (choice) {
    preview.chosen = choice->agent->agent;
    preview.reason = choice->reason;
  }
  const auto verdict_on = [&](const KnownAgent* agent) {
    if (preview.chosen == agent->agent) return CandidateVerdict::kChosen;
    if (apart.contains(agent)) return CandidateVerdict::kCandidate;
    if (collected.contains(agent)) return CandidateVerdict::kInterference;
    const bool is_set_aside = this->health.MayTakeTask(*agent, need, now) &&
                              !IsInScope(*agent, scope, job.submission.group);
    if (is_set_aside) return CandidateVerdict::kQuarantine;
    return WhyLeftOut(*agent, need, this->health, suspect_after, now);
  };
  for (const KnownAgent* agent :
       this->agents.OfService(job.submission.service)) {
    preview.candidates.push_back({agent->agent, verdict_on(agent),
                                  agent->Taken(), agent->load.capacity,
                                  agent->slowness, now - agent->last_heard});
  }
  return preview;
}

PlacementScope TaskPlacement::ScopeOf(const HomeJob& job, const Resources& need,
                                      const Quarantine& quarantine,
                                      Timestamp now) const {
  if (!quarantine.IsActive()) return PlacementScope::kOrdinary;
  if (quarantine.Contains(job.submission.group)) {
    return PlacementScope::kInQuarantine;
  }
  const std::vector<KnownAgent*>& all =
      this->agents.OfService(job.submission.service);
  const bool has_room_elsewhere =
      std::any_of(all.begin(), all.end(), [&](const KnownAgent* agent) {
        return agent->quarantined_groups.empty() &&
               this->health.MayTakeTasks(*agent, now) &&
               need.FitsIn(agent->load.capacity);
      });
  return has_room_elsewhere ? PlacementScope::kOutsideQuarantines
                            : PlacementScope::kOrdinary;
}

void TaskPlacement::CollectCandidates(const HomeJob& job, TaskIndex index,
                                      PlacementScope scope,
                                      const Resources& reserve, Timestamp now) {
  this->candidates.clear();
  const TaskRecord& task = job.tasks[index.value()];
  const Resources& need = job.submission.tasks[index.value()].need;
  const KnownAgent* last_resort = nullptr;
  for (const KnownAgent* agent :
       this->agents.OfService(job.submission.service)) {
    if (!this->health.MayTakeTask(*agent, need, now)) continue;
    if (!LeavesRoom(*agent, need, reserve)) continue;
    if (!IsInScope(*agent, scope, job.submission.group)) continue;
    if (task.retried && agent->agent == task.agent) {
      last_resort = agent;
      continue;
    }
    this->candidates.push_back(agent);
  }
  if (this->candidates.empty() && last_resort != nullptr) {
    this->candidates.push_back(last_resort);
  }
}

bool TaskPlacement::KeepApartFromInterference(const HomeJob& job,
                                              const ServiceState& service) {
  if (!service.KeepsApart() || this->candidates.size() < 2) return false;
  const AvoidedGroups avoided =
      service.interference().ToAvoid(job.submission.group);
  if (avoided.IsEmpty()) return false;
  const auto apart_end = std::stable_partition(
      this->candidates.begin(), this->candidates.end(),
      [&](const KnownAgent* agent) {
        return !agent->groups.AnyOf(
            [&](JobGroupId group) { return avoided.Contains(group); });
      });
  const bool is_worth_it =
      LowestSlowness(this->candidates.begin(), apart_end) <=
      kMaximumDetour *
          LowestSlowness(this->candidates.begin(), this->candidates.end());
  const bool passes_over = is_worth_it && apart_end != this->candidates.end();
  if (passes_over) this->candidates.erase(apart_end, this->candidates.end());
  return passes_over;
}

void TaskPlacement::KeepApartFromSuspects() {
  const auto runs_suspects = [](const KnownAgent* agent) {
    return agent->running_suspects > 0;
  };
  const bool all_run_suspects = std::all_of(
      this->candidates.begin(), this->candidates.end(), runs_suspects);
  if (!all_run_suspects) std::erase_if(this->candidates, runs_suspects);
}

void TaskPlacement::KeepReliable() {
  const auto fails_often = [](const KnownAgent* agent) {
    return agent->load.performance.failed_percent > kReliableFailedPercent;
  };
  const bool all_fail_often = std::all_of(this->candidates.begin(),
                                          this->candidates.end(), fails_often);
  if (!all_fail_often) std::erase_if(this->candidates, fails_often);
}

template <PlacementPolicy Policy>
KnownAgent* TaskPlacement::ChooseCandidate(const HomeJob& job, Policy& policy,
                                           const PlacementRequest& request) {
  const BucketId bucket = this->ownership.BucketOfKey(job.submission.key);
  while (!this->candidates.empty()) {
    const std::size_t choice = policy.Choose(this->candidates, request);
    const AgentId agent = this->candidates[choice]->agent;
    // Nearly every agent has promised, so it is cheaper to check the chosen one
    // than to filter all candidates.
    if (this->ownership.AgentPromised(bucket, agent)) {
      return this->agents.Find(agent);
    }
    this->candidates.erase(this->candidates.begin() +
                           static_cast<std::ptrdiff_t>(choice));
  }
  return nullptr;
}

}  // namespace dandelionspur
