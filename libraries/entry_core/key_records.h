#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEY_RECORDS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEY_RECORDS_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/protocol/agent_messages.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// A task that this home has started at an agent, or that the agent has reported
// as started.
struct ReportedTask {
  TaskIndex task;
  AgentId agent;
  StartConfirmation start = StartConfirmation::kUnconfirmed;
  bool operator==(const ReportedTask&) const = default;
};

// How a key was recorded, with regard to the current ballot.
enum class KeyOrigin {
  // Handled by this entry as home or witness under this ballot.
  kOwn,
  // From before this ballot; another home may have started tasks of the key.
  kInherited,
  // Has its final answer under this ballot.
  kClosed,
};

// What a promise changes about keys that are recorded already.
enum class RecordedKeys { kKeepOrigin, kBecomeInherited };

// Whether a key that is to be recorded was not recorded before, or not as
// cancelled.
enum class KeyNovelty { kNew, kKnown };

// Some recorded keys in ascending order, and whether there are further ones.
struct KeyList {
  std::vector<KnownKey> keys;
  bool is_complete = true;
};

// The keys of one bucket that an entry has recorded, with the tasks of them
// that agents have reported as started. Ownership applies the ballot protocol
// to them.
class KeyRecords {
 public:
  // Records a key that this entry handles as home, or as witness.
  KeyNovelty Remember(const KnownKey& known, Timestamp now);
  // Records a key of which another home may have started tasks. If the key is
  // recorded already, takes over only that it was cancelled.
  KeyNovelty RememberInherited(const KnownKey& known, Timestamp now);
  // Records a key that another entry has listed in its promise as inherited.
  // Keeps the earlier one of the times at which the key was first seen.
  void MergePromised(const KnownKey& known, RecordedKeys recorded,
                     Timestamp now);
  // Records tasks that an agent has listed in its promise as started, each
  // once.
  void AddReported(const KnownKey& known, const std::vector<TaskIndex>& tasks,
                   AgentId agent, Timestamp now);
  // Records that the job was cancelled, for as long as the key is recorded.
  // Records the key as inherited if it is not recorded.
  KeyNovelty Cancel(const JobKey& key, Timestamp now);
  // Marks a key as having its final answer.
  void Close(const JobKey& key, Timestamp now);
  // Treats a key as inherited; `started` replaces its reported tasks.
  void Reopen(const JobKey& key, std::vector<ReportedTask> started);
  // Replaces the reported tasks of the key.
  void SetReported(const JobKey& key, std::vector<ReportedTask> started);
  // Forgets one reported task of the key.
  void RemoveReported(const JobKey& key, const ReportedTask& gone);
  // Treats all keys as inherited and forgets the reported tasks, since a new
  // ballot begins.
  void BeginBallot();
  // Forgets the reported tasks. The keys stay recorded.
  void ClearReported() { this->reported.clear(); }
  // Removes keys that were last recorded before `horizon`.
  void Expire(Timestamp horizon);

  // OriginOf and FirstSeen return nothing if the key is not recorded.
  [[nodiscard]] std::optional<KeyOrigin> OriginOf(const JobKey& key) const;
  [[nodiscard]] std::optional<Timestamp> FirstSeen(const JobKey& key) const;
  [[nodiscard]] bool IsCancelled(const JobKey& key) const {
    return this->cancelled_keys.contains(key);
  }
  // The recorded keys of cancelled jobs.
  [[nodiscard]] const std::set<JobKey>& cancelled() const {
    return this->cancelled_keys;
  }
  // Valid until the next change.
  [[nodiscard]] const std::vector<ReportedTask>& ReportedTasks(
      const JobKey& key) const;
  // The recorded keys in ascending order.
  [[nodiscard]] std::vector<KnownKey> Sorted() const;
  // The lowest `maximum` recorded keys above `after`, in ascending order; all
  // keys are above nothing.
  [[nodiscard]] KeyList ListAfter(const std::optional<JobKey>& after,
                                  std::size_t maximum) const;
  [[nodiscard]] std::size_t size() const { return this->records.size(); }

 private:
  struct Record {
    Timestamp first_seen;
    Timestamp last_heard;
    KeyOrigin origin = KeyOrigin::kOwn;
  };

  // Takes over whether the key, which is recorded, was cancelled.
  KeyNovelty NoteCancelled(const KnownKey& known, Timestamp now);

  std::unordered_map<JobKey, Record> records;
  std::set<JobKey> cancelled_keys;
  std::unordered_map<JobKey, std::vector<ReportedTask>> reported;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_KEY_RECORDS_H_
