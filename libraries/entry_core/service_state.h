#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_STATE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/configuration/service_document.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/placement.h"

namespace dandelionspur {

// One service as its home sees it: the document in force, the queues of its
// client accounts, and the budget for retries.
class ServiceState {
 public:
  ServiceState(const ServiceDocument& document, std::uint64_t placement_seed);

  void Apply(const ServiceDocument& document);
  [[nodiscard]] const ServiceDocument& document() const {
    return this->in_force;
  }
  [[nodiscard]] Placement& placement() { return this->policy; }

  // Whether the document lets the client account submit.
  [[nodiscard]] bool Admits(const ClientAccount& client_account) const;
  // Puts a job with queued tasks in line; `cores` are those of the service.
  void Enqueue(HomeJob& job, std::int64_t cores);
  void Dequeue(HomeJob& job);
  // The job whose task should start next, or nothing where every client
  // account with queued jobs is at its limit. Among client accounts, the one
  // with the smallest part of its share goes first; within one, the document's
  // order decides. With the shortest remaining work first, each
  // second of waiting counts for part of a second of work.
  [[nodiscard]] std::optional<JobKey> Next() const;
  // Jobs whose latest start has passed give way to those that can still be in
  // time. Returns them; the caller marks each as late and queues it again.
  [[nodiscard]] std::vector<JobKey> Overdue(Timestamp now) const;

  // The jobs that were marked as late.
  [[nodiscard]] std::vector<JobKey> Late() const;

  void TaskQueued(Duration core_time);
  void TaskUnqueued(Duration core_time);
  void TaskStarted(const ClientAccount& client_account);
  void TaskEnded(const ClientAccount& client_account);
  [[nodiscard]] std::uint32_t queued_tasks() const {
    return this->queued_count;
  }
  // Declared core time of all queued tasks.
  [[nodiscard]] Duration queued_work() const { return this->queued_total; }

  // Takes one retry from the budget; false where it is used up.
  bool TakeRetry();

  // Measured over declared task time, over all upstreams.
  void ObserveTask(Duration declared, Duration elapsed);
  [[nodiscard]] double declared_error() const { return this->error_ratio; }

 private:
  struct Position {
    std::int64_t rank = 0;
    JobKey key;
    auto operator<=>(const Position&) const = default;
  };
  struct AccountState {
    std::set<Position> jobs;
    // Served only where no other job waits.
    std::set<Position> late;

    [[nodiscard]] bool IsIdle() const {
      return this->jobs.empty() && this->late.empty();
    }
    std::uint32_t running = 0;
    std::uint32_t weight = 1;
    std::uint32_t maximum_running = UINT32_MAX;
  };

  AccountState& Account(const ClientAccount& client_account);

  ServiceDocument in_force;
  Placement policy;
  std::uint64_t seed;
  std::map<ClientAccount, AccountState> client_accounts;
  std::uint32_t queued_count = 0;
  Duration queued_total{};
  double retry_tokens = 0;
  double error_ratio = 1.0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_STATE_H_
