#include "libraries/entry_core/key_records.h"

#include <algorithm>
#include <utility>

namespace dandelionspur {
namespace {

const std::vector<ReportedTask> kNoTasks;

}  // namespace

KeyNovelty KeyRecords::Remember(const KnownKey& known, Timestamp now) {
  const Record own{known.first_seen, now, KeyOrigin::kOwn};
  const auto [record, inserted] = this->records.emplace(known.key, own);
  record->second.last_heard = now;
  const KeyNovelty mark = this->NoteCancelled(known, now);
  return inserted ? KeyNovelty::kNew : mark;
}

KeyNovelty KeyRecords::RememberInherited(const KnownKey& known, Timestamp now) {
  const Record inherited{known.first_seen, now, KeyOrigin::kInherited};
  const bool inserted = this->records.emplace(known.key, inherited).second;
  const KeyNovelty mark = this->NoteCancelled(known, now);
  return inserted ? KeyNovelty::kNew : mark;
}

KeyNovelty KeyRecords::NoteCancelled(const KnownKey& known, Timestamp now) {
  if (!known.cancelled) return KeyNovelty::kKnown;
  if (!this->cancelled_keys.insert(known.key).second) return KeyNovelty::kKnown;
  this->records.at(known.key).last_heard = now;
  return KeyNovelty::kNew;
}

KeyNovelty KeyRecords::Cancel(const JobKey& key, Timestamp now) {
  const KeyNovelty novelty = this->RememberInherited({key, now, true}, now);
  this->records.at(key).last_heard = now;
  return novelty;
}

void KeyRecords::MergePromised(const KnownKey& known, RecordedKeys recorded,
                               Timestamp now) {
  const Record inherited{known.first_seen, now, KeyOrigin::kInherited};
  const auto [record, inserted] = this->records.emplace(known.key, inherited);
  record->second.first_seen =
      std::min(record->second.first_seen, known.first_seen);
  if (recorded == RecordedKeys::kBecomeInherited) {
    record->second.origin = KeyOrigin::kInherited;
  }
  this->NoteCancelled(known, now);
}

void KeyRecords::AddReported(const KnownKey& known,
                             const std::vector<TaskIndex>& tasks, AgentId agent,
                             Timestamp now) {
  this->RememberInherited(known, now);
  if (tasks.empty()) return;
  std::vector<ReportedTask>& found = this->reported[known.key];
  for (const TaskIndex task : tasks) {
    const bool is_known =
        std::any_of(found.begin(), found.end(), [&](const ReportedTask& other) {
          return other.task == task && other.agent == agent;
        });
    if (!is_known) found.push_back({task, agent});
  }
}

void KeyRecords::Close(const JobKey& key, Timestamp now) {
  const auto record = this->records.find(key);
  if (record == this->records.end()) return;
  record->second.origin = KeyOrigin::kClosed;
  record->second.last_heard = now;
}

void KeyRecords::Reopen(const JobKey& key, std::vector<ReportedTask> started) {
  const auto record = this->records.find(key);
  if (record == this->records.end()) return;
  record->second.origin = KeyOrigin::kInherited;
  this->SetReported(key, std::move(started));
}

void KeyRecords::SetReported(const JobKey& key,
                             std::vector<ReportedTask> started) {
  this->reported[key] = std::move(started);
}

void KeyRecords::RemoveReported(const JobKey& key, const ReportedTask& gone) {
  const auto found = this->reported.find(key);
  if (found == this->reported.end()) return;
  std::erase(found->second, gone);
  if (found->second.empty()) this->reported.erase(found);
}

void KeyRecords::BeginBallot() {
  this->ClearReported();
  for (auto& [key, record] : this->records) {
    record.origin = KeyOrigin::kInherited;
  }
}

void KeyRecords::Expire(Timestamp horizon) {
  std::erase_if(this->records, [&](const auto& item) {
    return item.second.last_heard < horizon;
  });
  std::erase_if(this->reported, [&](const auto& item) {
    return !this->records.contains(item.first);
  });
  std::erase_if(this->cancelled_keys, [&](const JobKey& key) {
    return !this->records.contains(key);
  });
}

std::optional<KeyOrigin> KeyRecords::OriginOf(const JobKey& key) const {
  const auto record = this->records.find(key);
  if (record == this->records.end()) return std::nullopt;
  return record->second.origin;
}

std::optional<Timestamp> KeyRecords::FirstSeen(const JobKey& key) const {
  const auto record = this->records.find(key);
  if (record == this->records.end()) return std::nullopt;
  return record->second.first_seen;
}

const std::vector<ReportedTask>& KeyRecords::ReportedTasks(
    const JobKey& key) const {
  const auto found = this->reported.find(key);
  return found == this->reported.end() ? kNoTasks : found->second;
}

std::vector<KnownKey> KeyRecords::Sorted() const {
  return this->ListAfter(std::nullopt, this->records.size()).keys;
}

KeyList KeyRecords::ListAfter(const std::optional<JobKey>& after,
                              std::size_t maximum) const {
  KeyList list;
  for (const auto& [key, record] : this->records) {
    if (after && key <= *after) continue;
    list.keys.push_back({key, record.first_seen, this->IsCancelled(key)});
  }
  list.is_complete = list.keys.size() <= maximum;
  const auto listed = list.keys.begin() + static_cast<std::ptrdiff_t>(std::min(
                                              list.keys.size(), maximum));
  std::partial_sort(list.keys.begin(), listed, list.keys.end(),
                    [](const KnownKey& left, const KnownKey& right) {
                      return left.key < right.key;
                    });
  list.keys.erase(listed, list.keys.end());
  return list;
}

}  // namespace dandelionspur
