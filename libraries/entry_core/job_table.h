#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_TABLE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_TABLE_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/entry_core/home_job.h"

namespace dandelionspur {

// A job that was submitted at `now` and is not in any table yet.
HomeJob NewHomeJob(const JobSubmission& submission, Timestamp now);

// The jobs of a home by key, with an index of their deadlines and one of the
// jobs that are blocked: those that wait for a witness or for reports of what
// the agents have started.
class JobTable {
 public:
  // Adds a job that is received now. The table must not contain its key.
  HomeJob& Add(const JobSubmission& submission, Timestamp now);
  // Removes the job, from the indexes too.
  void Erase(const JobKey& key);
  // Returns nullptr if there is no such job.
  [[nodiscard]] HomeJob* Find(const JobKey& key);
  // The table must contain the key.
  [[nodiscard]] HomeJob& At(const JobKey& key) { return this->jobs.at(key); }

  // The keys of the jobs that fulfil the condition, in ascending order.
  template <std::predicate<const HomeJob&> Condition>
  [[nodiscard]] std::vector<JobKey> KeysOf(const Condition& condition) const {
    std::vector<JobKey> keys;
    for (const auto& [key, job] : this->jobs) {
      if (condition(job)) keys.push_back(key);
    }
    std::sort(keys.begin(), keys.end());
    return keys;
  }
  // The keys of the jobs whose deadlines are at `end` or earlier, the earliest
  // deadline first.
  [[nodiscard]] std::vector<JobKey> DueBy(Timestamp end) const;

  // Returns whether the job was not blocked before.
  bool Block(const JobKey& key) {
    return this->blocked_keys.insert(key).second;
  }
  void Unblock(const JobKey& key) { this->blocked_keys.erase(key); }
  [[nodiscard]] bool IsBlocked(const JobKey& key) const {
    return this->blocked_keys.contains(key);
  }
  [[nodiscard]] const std::set<JobKey>& blocked() const {
    return this->blocked_keys;
  }

  [[nodiscard]] std::size_t size() const { return this->jobs.size(); }
  // The memory that the jobs take, approximately.
  [[nodiscard]] std::uint64_t HeldBytes() const;

 private:
  std::unordered_map<JobKey, HomeJob> jobs;
  std::set<std::pair<Timestamp, JobKey>> deadlines;
  std::set<JobKey> blocked_keys;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_TABLE_H_
