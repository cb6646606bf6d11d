#include "libraries/entry_core/key_history.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace dandelionspur {
namespace {

// Starts by other homes of which this entry does not know whether they are
// confirmed.
constexpr auto kAnyStart = StartConfirmation::kUnconfirmed;

}  // namespace

KeyHistory::KeyHistory(const EntryCoreSettings& configured,
                       const Membership& current_membership,
                       BucketTable& bucket_table, const AgentRegistry& registry,
                       const AgentContacts& agent_contacts,
                       const AgentRoster& agent_roster)
    : settings(configured),
      membership(current_membership),
      buckets(bucket_table),
      agents(registry),
      contacts(agent_contacts),
      roster(agent_roster) {}

KeyStatus KeyHistory::StatusOf(const JobSubmission& job, Timestamp now) {
  BucketState& bucket =
      this->buckets.Get(BucketOf(job.key, this->settings.bucket_count));
  if (const auto origin = bucket.keys.OriginOf(job.key)) {
    switch (*origin) {
      case KeyOrigin::kOwn:
        return KeyStatus::kFresh;
      case KeyOrigin::kInherited:
        return KeyStatus::kInherited;
      case KeyOrigin::kClosed:
        return KeyStatus::kClosed;
    }
  }
  // Jobs that may run again have no witness, so only the former home or the
  // agents can report what the former home has started.
  if (job.rerun == RerunPolicy::kAfterLease) {
    return this->AllStartsRecorded(bucket, now) ? KeyStatus::kFresh
                                                : KeyStatus::kUnsettled;
  }
  if (!bucket.fresh_after) return KeyStatus::kFresh;
  const bool younger = job.created && *bucket.fresh_after < Timestamp::max() &&
                       *job.created > *bucket.fresh_after + kClockSkewLimit;
  return younger ? KeyStatus::kFresh : KeyStatus::kIndeterminate;
}

bool KeyHistory::AllStartsRecorded(BucketState& bucket, Timestamp now) const {
  // Once true, it stays true for this ballot: all later starts are made here.
  bucket.all_starts_recorded = bucket.all_starts_recorded ||
                               this->FormerHomeReportedAllStarts(bucket, now) ||
                               this->PriorRunsResolved(bucket, now);
  return bucket.all_starts_recorded;
}

bool KeyHistory::FormerHomeReportedAllStarts(const BucketState& bucket,
                                             Timestamp now) const {
  // A later home may be among them.
  if (this->contacts.RemovedMayHaveRuns(StartConfirmation::kUnconfirmed, now)) {
    return false;
  }
  const auto has_reported = [&](EntryId entry) {
    return entry == this->settings.self ||
           bucket.entry_promises.contains(entry);
  };
  Ballot latest;
  for (const ViewMember& member : this->membership.view().members) {
    if (!has_reported(member.entry)) return false;
  }
  for (const auto& [entry, before] : bucket.prior_states) {
    latest = std::max(latest, before.promised);
  }
  const auto former = bucket.prior_states.find(latest.entry);
  return !latest.IsNone() && former != bucket.prior_states.end() &&
         has_reported(former->first) && former->second.held == latest &&
         former->second.knew_all_starts;
}

bool KeyHistory::KnowsAllRunningAgents(Timestamp now) const {
  return this->membership.IsSynchronized() || this->roster.IsComplete() ||
         this->contacts.UnknownRunsAreOver(this->membership, now);
}

bool KeyHistory::PriorRunsResolved(const BucketState& bucket,
                                   Timestamp now) const {
  if (!this->KnowsAllRunningAgents(now)) return false;
  return std::all_of(this->agents.all().begin(), this->agents.all().end(),
                     [&](const auto& item) {
                       return bucket.agent_promises.contains(item.first) ||
                              this->RunsAreOver(item.second, kAnyStart, now);
                     });
}

bool KeyHistory::RunsAreOver(AgentId agent, StartConfirmation starts,
                             Timestamp now) const {
  const KnownAgent* known = this->agents.Find(agent);
  return known == nullptr || this->RunsAreOver(*known, starts, now);
}

bool KeyHistory::RunsAreOver(const KnownAgent& agent, StartConfirmation starts,
                             Timestamp now) const {
  return this->contacts.RunsAreOver(agent, starts, this->membership.view(),
                                    now);
}

Timestamp KeyHistory::RunsOverAt(AgentId agent, StartConfirmation starts,
                                 Timestamp now) const {
  const KnownAgent* known = this->agents.Find(agent);
  if (known == nullptr) return now;
  return this->contacts.RunsOverAt(*known, starts, this->membership.view());
}

bool KeyHistory::IsUnreachable(const KnownAgent& agent, Timestamp now) const {
  return agent.lost_at || now - agent.contact_at > this->settings.suspect_after;
}

std::optional<Timestamp> KeyHistory::HistoryCompleteAt(const JobSubmission& job,
                                                       Timestamp now) const {
  const BucketState& bucket =
      this->buckets.Get(BucketOf(job.key, this->settings.bucket_count));
  if (!this->KnowsAllRunningAgents(now)) return std::nullopt;
  Timestamp complete_at = now;
  for (const auto& [id, agent] : this->agents.all()) {
    const bool is_resolved = bucket.agent_promises.contains(id) ||
                             this->RunsAreOver(agent, kAnyStart, now);
    if (is_resolved) continue;
    if (!this->IsUnreachable(agent, now)) return std::nullopt;
    complete_at = std::max(complete_at, this->RunsOverAt(id, kAnyStart, now));
  }
  for (const ReportedTask& task : bucket.keys.ReportedTasks(job.key)) {
    if (this->RunsAreOver(task.agent, task.start, now)) continue;
    const KnownAgent& holder = *this->agents.Find(task.agent);
    if (!this->IsUnreachable(holder, now)) return std::nullopt;
    complete_at =
        std::max(complete_at, this->RunsOverAt(task.agent, task.start, now));
  }
  return complete_at;
}

bool KeyHistory::HasRunsOfLostAgents(const BucketState& bucket,
                                     const JobKey& key, Timestamp now) const {
  const std::vector<ReportedTask>& started = bucket.keys.ReportedTasks(key);
  return std::any_of(started.begin(), started.end(),
                     [&](const ReportedTask& task) {
                       const KnownAgent* holder = this->agents.Find(task.agent);
                       return holder != nullptr && holder->lost_at &&
                              !this->RunsAreOver(*holder, task.start, now);
                     });
}

Timestamp KeyHistory::FirstSeen(const BucketState& bucket,
                                const JobSubmission& job) const {
  // An entry that has not promised may have seen the key earlier than the
  // record says, which then begins with a later submission of the key.
  if (bucket.fresh_after) return job.created.value_or(Timestamp::min());
  return bucket.keys.FirstSeen(job.key).value_or(Timestamp::min());
}

HistoryState KeyHistory::HistoryOf(const JobSubmission& job,
                                   Timestamp now) const {
  const BucketState& bucket =
      this->buckets.Get(BucketOf(job.key, this->settings.bucket_count));
  if (job.rerun == RerunPolicy::kAfterLease) {
    const bool settled = this->PriorRunsResolved(bucket, now) &&
                         !this->HasRunsOfLostAgents(bucket, job.key, now);
    return settled ? HistoryState::kComplete : HistoryState::kIncomplete;
  }
  const Timestamp first_seen = this->FirstSeen(bucket, job);
  if (!this->membership.IsSynchronized()) return HistoryState::kIncomplete;
  HistoryState state = HistoryState::kComplete;
  for (const auto& [agent, known] : this->agents.all()) {
    if (bucket.agent_promises.contains(agent)) continue;
    // It may have started tasks, and may never report them.
    if (!known.lost_at && known.refuses_connections) return HistoryState::kLost;
    if (!known.lost_at) {
      state = HistoryState::kIncomplete;
      continue;
    }
    if (*known.lost_at + kClockSkewLimit >= first_seen) {
      return HistoryState::kLost;
    }
  }
  return state;
}

}  // namespace dandelionspur
