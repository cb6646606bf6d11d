#include "libraries/agent_core/started_set.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dandelionspur {
namespace {

// Stands for a cancelled job among its tasks, of which it is the last.
const TaskIndex kWholeJob(std::numeric_limits<std::uint32_t>::max());

}  // namespace

bool StartedSet::IsForbidden(const Start& start) const {
  const auto found = this->forbidden.find(start.task);
  return found != this->forbidden.end() &&
         start.Number() <= found->second.highest;
}

bool StartedSet::MayRunAgain(const Start& start) const {
  const auto found = this->tasks.find(start.task);
  if (found == this->tasks.end()) return false;
  const Entry& entry = found->second;
  return start.rerun == RerunPolicy::kAfterLease &&
         entry.state == StartedState::kFinished &&
         entry.outcome != TaskOutcome::kSucceeded &&
         start.Number() > entry.start;
}

void StartedSet::Insert(const Start& start, Timestamp now) {
  this->last_update_time = now;
  Entry entry;
  entry.start = start.Number();
  entry.rerun = start.rerun;
  entry.added_at = now;
  this->DropAnswer(start.task);
  this->tasks.insert_or_assign(start.task, entry);
  this->expiry_order.push_back({now, start.task});
}

void StartedSet::MarkNotRun(const TaskId& id) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) return;
  if (found->second.state != StartedState::kRunning) return;
  this->Forbid(id, found->second.start);
  this->tasks.erase(found);
}

void StartedSet::MarkFinished(const TaskId& id, TaskOutcome outcome,
                              Payload result) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) return;
  found->second.state = StartedState::kFinished;
  found->second.outcome = outcome;
  this->DropAnswer(id);
  this->answer_bytes += result.size();
  const std::uint64_t number = ++this->last_answer;
  this->answers.insert_or_assign(id, Answer{std::move(result), number});
  this->answer_order.emplace(number, id);
  while (this->answer_bytes > this->limits.maximum_answer_bytes) {
    this->DropOldestAnswer();
  }
}

TaskReport StartedSet::Report(const TaskId& id) const {
  TaskReport report;
  report.task = id;
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) return report;
  report.start = found->second.start;
  report.state = found->second.state;
  report.outcome = found->second.outcome;
  const auto answer = this->answers.find(id);
  if (answer == this->answers.end()) return report;
  report.result = answer->second.result;
  report.result_kept = true;
  return report;
}

void StartedSet::UpdateLatestStart(const Start& start) {
  const auto found = this->tasks.find(start.task);
  if (found == this->tasks.end()) return;
  Entry& entry = found->second;
  if (entry.state != StartedState::kRunning) return;
  entry.start = std::max(entry.start, start.Number());
}

void StartedSet::Forbid(const TaskId& id, const StartNumber& start) {
  ForbiddenStarts& starts = this->forbidden[id];
  starts.highest = std::max(starts.highest, start);
  starts.added_at = this->last_update_time;
  this->forbidden_order.push_back({this->last_update_time, id});
}

void StartedSet::Cancel(const JobKey& key, Timestamp now) {
  this->cancelled[key] = now;
  this->cancelled_order.emplace_back(now, key);
}

StartedList StartedSet::List(const StartedQuery& query) const {
  StartedList list;
  list.covered = query.buckets.size();
  std::size_t listed = 0;
  std::size_t last_position = 0;
  for (const QueriedTask& task : this->Find(query)) {
    const bool begins_job =
        list.jobs.empty() || list.jobs.back().key != task.id.key;
    const bool is_full =
        query.maximum_tasks > 0 && listed >= query.maximum_tasks;
    if (begins_job && is_full) {
      list.covered = task.position;
      if (task.position != last_position) return list;
      // Jobs are listed whole, so that a key says where to go on.
      list.covered = task.position + 1;
      list.resume_after = list.jobs.back().key;
      return list;
    }
    if (begins_job) list.jobs.push_back({task.id.key, {}});
    if (task.id.task == kWholeJob) {
      list.jobs.back().cancelled = true;
    } else {
      list.jobs.back().tasks.push_back(task.id.task);
    }
    last_position = task.position;
    ++listed;
  }
  return list;
}

std::vector<StartedSet::QueriedTask> StartedSet::Find(
    const StartedQuery& query) const {
  std::unordered_map<BucketId, std::size_t> positions;
  for (const BucketId bucket : query.buckets) {
    positions.emplace(bucket, positions.size());
  }
  std::vector<QueriedTask> found;
  const auto add = [&](const TaskId& id) {
    const auto queried = positions.find(BucketOf(id.key, query.bucket_count));
    if (queried == positions.end()) return;
    const std::size_t position = queried->second;
    const bool is_listed_already =
        position == 0 && query.after && id.key <= *query.after;
    if (!is_listed_already) found.push_back({position, id});
  };
  for (const auto& [id, entry] : this->tasks) {
    if (!IsRerunnable(entry)) add(id);
  }
  for (const auto& item : this->cancelled) add({item.first, kWholeJob});
  std::sort(found.begin(), found.end());
  return found;
}

bool StartedSet::IsRerunnable(const Entry& entry) {
  return entry.rerun == RerunPolicy::kAfterLease &&
         entry.state == StartedState::kFinished &&
         entry.outcome != TaskOutcome::kSucceeded;
}

void StartedSet::Expire(Timestamp now) {
  this->last_update_time = now;
  const Timestamp horizon = now - this->limits.duplicate_window;
  std::erase_if(this->long_running, [&](const TimedTask& item) {
    return this->ExpireTask(item) == Expiry::kRemoved;
  });
  while (!this->expiry_order.empty() &&
         this->expiry_order.front().added_at < horizon) {
    const TimedTask oldest = this->expiry_order.front();
    this->expiry_order.pop_front();
    if (this->ExpireTask(oldest) == Expiry::kStillRuns) {
      this->long_running.push_back(oldest);
    }
  }
  while (!this->forbidden_order.empty() &&
         this->forbidden_order.front().added_at < horizon) {
    const TimedTask oldest = this->forbidden_order.front();
    this->forbidden_order.pop_front();
    const auto found = this->forbidden.find(oldest.id);
    // Forbidden again since: a later item determines when it expires.
    const bool is_latest = found != this->forbidden.end() &&
                           found->second.added_at == oldest.added_at;
    if (is_latest) this->forbidden.erase(found);
  }
  while (!this->cancelled_order.empty() &&
         this->cancelled_order.front().first < horizon) {
    const auto [cancelled_at, key] = this->cancelled_order.front();
    this->cancelled_order.pop_front();
    const auto found = this->cancelled.find(key);
    const bool is_latest =
        found != this->cancelled.end() && found->second == cancelled_at;
    if (is_latest) this->cancelled.erase(found);
  }
}

StartedSet::Expiry StartedSet::ExpireTask(const TimedTask& item) {
  const auto found = this->tasks.find(item.id);
  // A newer start of the task has an item of its own, which determines when the
  // task expires.
  const bool is_latest_start =
      found != this->tasks.end() && found->second.added_at == item.added_at;
  if (!is_latest_start) return Expiry::kRemoved;
  if (found->second.state == StartedState::kRunning) return Expiry::kStillRuns;
  this->tasks.erase(found);
  this->DropAnswer(item.id);
  return Expiry::kRemoved;
}

void StartedSet::DropOldestAnswer() {
  const TaskId oldest = this->answer_order.begin()->second;
  this->DropAnswer(oldest);
}

void StartedSet::DropAnswer(const TaskId& id) {
  const auto found = this->answers.find(id);
  if (found == this->answers.end()) return;
  this->answer_bytes -= found->second.result.size();
  this->answer_order.erase(found->second.number);
  this->answers.erase(found);
}

}  // namespace dandelionspur
