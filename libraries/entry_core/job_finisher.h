#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_FINISHER_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_FINISHER_H_

#include <cstdint>
#include <vector>

#include "libraries/entry_core/admission.h"
#include "libraries/entry_core/answer_cache.h"
#include "libraries/entry_core/entry_core_settings.h"
#include "libraries/entry_core/home_context.h"
#include "libraries/entry_core/refusal_confirmer.h"
#include "libraries/entry_core/settled_attempts.h"

namespace dandelionspur {

// Ends the jobs of a home: answers those who wait for them, and retains the
// final answers and which relays are settled for later submissions of the keys.
class JobFinisher {
 public:
  JobFinisher(const EntryCoreSettings& configured, const HomeContext& context,
              const Admission& admission_control, RefusalConfirmer& refusals);

  // Sends the final answer, stops the tasks that still run, and erases the job.
  void Finish(HomeJob& job, const JobAnswer& answer, Timestamp now);
  // When a caller whose job is refused now should submit it again.
  [[nodiscard]] Duration RetryAfter(const HomeJob& job, Reason reason,
                                    Timestamp now) const;
  // Answers "not run" once that is confirmed, or "may have run" at once if a
  // task may have run.
  void Refuse(HomeJob& job, Reason reason, Timestamp now);
  // Refuses a job that was cancelled or whose deadline is near.
  void Abandon(HomeJob& job, Reason reason, Timestamp now);
  // Removes a job without an answer.
  void Remove(HomeJob& job);
  void OnRefusalsConfirmed(const std::vector<ConfirmedRefusal>& confirmed,
                           Timestamp now);

  void Answer(const Waiter& waiter, const JobKey& key, const JobAnswer& answer);
  // Notifies the sender of a relay that this entry will not act on the relay
  // any more, and whether it may have done so before.
  void ReturnRelay(const JobKey& key, const RelayOrigin& origin,
                   RelayedStarts starts, Timestamp now);
  // Whether this relay was refused or returned, or a later one of its sender.
  [[nodiscard]] bool HasSettled(const JobKey& key,
                                const RelayOrigin& origin) const {
    return this->settled_attempts.Contains(key, origin);
  }
  // Returns nullptr if no final answer is kept.
  [[nodiscard]] const CachedAnswer* FindAnswer(const JobKey& key) const {
    return this->answer_cache.Find(key);
  }
  [[nodiscard]] std::uint64_t kept_answer_bytes() const {
    return this->answer_cache.held_bytes();
  }
  // Forgets the answers and relays from before the duplicate window.
  void Expire(Timestamp now);

 private:
  void Erase(HomeJob& job);

  Ownership& ownership;
  JobTable& jobs;
  ServiceQueues& queues;
  OutstandingTasks& outstanding;
  EntryOutbox& outbox;
  const Admission& admission;
  RefusalConfirmer& confirmer;
  AnswerCache answer_cache;
  SettledAttempts settled_attempts;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_JOB_FINISHER_H_
