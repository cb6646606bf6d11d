#include "libraries/entry_core/job_table.h"

namespace dandelionspur {

HomeJob NewHomeJob(const JobSubmission& submission, Timestamp now) {
  HomeJob job;
  job.submission = submission;
  job.accepted_at = now;
  job.deadline = now + submission.time_allowed;
  job.tasks.resize(submission.tasks.size());
  return job;
}

HomeJob& JobTable::Add(const JobSubmission& submission, Timestamp now) {
  HomeJob& job = this->jobs[submission.key];
  job = NewHomeJob(submission, now);
  this->deadlines.emplace(job.deadline, submission.key);
  return job;
}

void JobTable::Erase(const JobKey& key) {
  const auto found = this->jobs.find(key);
  if (found == this->jobs.end()) return;
  this->deadlines.erase({found->second.deadline, key});
  this->blocked_keys.erase(key);
  this->jobs.erase(found);
}

HomeJob* JobTable::Find(const JobKey& key) {
  const auto found = this->jobs.find(key);
  return found == this->jobs.end() ? nullptr : &found->second;
}

std::vector<JobKey> JobTable::DueBy(Timestamp end) const {
  std::vector<JobKey> due;
  for (const auto& [deadline, key] : this->deadlines) {
    if (deadline > end) break;
    due.push_back(key);
  }
  return due;
}

std::uint64_t JobTable::HeldBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [key, job] : this->jobs) {
    bytes += job.submission.HeldBytes() + job.tasks.size() * sizeof(TaskRecord);
    for (const TaskRecord& task : job.tasks) bytes += task.result.size();
  }
  return bytes;
}

}  // namespace dandelionspur
