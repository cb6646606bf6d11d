#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_STATE_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libraries/configuration/service_document.h"
#include "libraries/entry_core/contention/urgent_reserve.h"
#include "libraries/entry_core/group_demand.h"
#include "libraries/entry_core/home_job.h"
#include "libraries/entry_core/interference/interference_estimator.h"
#include "libraries/entry_core/placement.h"
#include "libraries/entry_core/quarantine.h"

namespace dandelionspur {

// The state of one service at an entry: the document in force, the queues of
// the service's client accounts, and its retry budget.
class ServiceState {
 public:
  ServiceState(const ServiceDocument& document, std::uint64_t placement_seed);

  void Apply(const ServiceDocument& document);
  [[nodiscard]] const ServiceDocument& document() const {
    return this->in_force;
  }
  [[nodiscard]] Placement& placement() { return this->policy; }
  [[nodiscard]] PlacementKind placement_kind() const;

  // Whether the document lets the client account submit.
  [[nodiscard]] bool Admits(const ClientAccount& client_account) const;
  // Inserts a job with queued tasks into its client account's queue, or into
  // the queue of its group if that is quarantined. `cores` is the number of
  // processor cores of the service, at least one.
  void Enqueue(HomeJob& job, std::int64_t cores);
  void Dequeue(HomeJob& job);
  // The job whose task should start next, or nothing if every client account
  // with queued jobs is at its limit. The client account with the fewest
  // running tasks in proportion to its weight goes first. Within a client
  // account, the document's order decides. With kShortestRemaining, waiting
  // time lowers the rank (ageing), so that large jobs don't starve.
  [[nodiscard]] std::optional<JobKey> Next() const;
  // The number of client accounts whose state is kept.
  [[nodiscard]] std::size_t account_count() const {
    return this->client_accounts.size();
  }
  // The same among the jobs that are in time and of higher priority, i.e. with
  // a lower number, than `priority`.
  [[nodiscard]] std::optional<JobKey> NextAbove(std::uint32_t priority) const;
  // The same for the queue of a quarantined group.
  [[nodiscard]] std::optional<JobKey> NextOf(JobGroupId group) const;
  // The queued jobs of a quarantined group, the next one first.
  [[nodiscard]] std::vector<JobKey> JobsOf(JobGroupId group) const;
  // The jobs whose latest start has passed. The caller marks each as late and
  // queues it again, so that jobs that can still be in time go first. Empty
  // unless the document's order is kLeastSlack.
  [[nodiscard]] std::vector<JobKey> OverdueJobs(Timestamp now) const;

  // The queued jobs that are marked as late.
  [[nodiscard]] std::vector<JobKey> LateJobs() const;

  void TaskQueued(JobGroupId group, Duration core_time);
  void TaskUnqueued(JobGroupId group, Duration core_time);
  void TaskStarted(const ClientAccount& client_account);
  void TaskEnded(const ClientAccount& client_account);
  [[nodiscard]] std::uint32_t queued_tasks() const {
    return this->queued_count;
  }
  // Sum of the declared core times of all queued tasks.
  [[nodiscard]] Duration queued_work() const { return this->queued_total; }
  // The part of it that belongs to the group.
  [[nodiscard]] Duration QueuedWorkOf(JobGroupId group) const;

  [[nodiscard]] Quarantine& quarantine() { return this->isolation; }
  [[nodiscard]] const Quarantine& quarantine() const { return this->isolation; }
  // Which groups slow each other down. Empty unless the document asks to keep
  // them apart.
  [[nodiscard]] InterferenceEstimator& interference() {
    return this->estimator;
  }
  [[nodiscard]] const InterferenceEstimator& interference() const {
    return this->estimator;
  }
  [[nodiscard]] bool KeepsApart() const {
    return this->in_force.interference == InterferenceHandling::kKeepApart;
  }
  [[nodiscard]] GroupDemand& demand() { return this->group_demand; }
  [[nodiscard]] UrgentReserve& urgent_reserve() { return this->reserve; }

  // The declared core times of the queued tasks, by whether their jobs can
  // still meet their objectives.
  [[nodiscard]] Backlog OwnBacklog() const;
  // What the other entries queue for the service.
  void NotePeerBacklog(const Backlog& backlog) { this->peers = backlog; }
  [[nodiscard]] const Backlog& peer_backlog() const { return this->peers; }

  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TakeRetry();

  // Updates the moving average of the ratio of measured to declared task time
  // over all upstreams of the service.
  void ObserveTask(Duration declared, Duration elapsed);
  [[nodiscard]] double declared_error() const { return this->error_ratio; }
  // Moving average of the tasks' run time.
  [[nodiscard]] Duration usual_run_time() const { return this->run_time; }

 private:
  struct Position {
    std::int64_t rank = 0;
    JobKey key;
    std::uint32_t priority = 0;
    auto operator<=>(const Position&) const = default;
  };
  struct Queue {
    std::set<Position> jobs;
    // Served only when `jobs` is empty.
    std::set<Position> late;

    [[nodiscard]] bool IsIdle() const {
      return this->jobs.empty() && this->late.empty();
    }
    [[nodiscard]] const JobKey& First() const {
      return (this->jobs.empty() ? this->late : this->jobs).begin()->key;
    }
  };
  struct AccountState {
    // The jobs of the groups that are not quarantined.
    Queue queue;
    std::uint32_t running = 0;
    std::uint32_t weight = 1;
    std::uint32_t maximum_running = UINT32_MAX;
  };

  AccountState& Account(const ClientAccount& client_account);
  // Removes the state of a client account that has neither queued jobs nor
  // running tasks, unless the document names it.
  void ForgetIfIdle(const ClientAccount& client_account);
  [[nodiscard]] bool IsNamed(const ClientAccount& client_account) const;
  [[nodiscard]] std::set<Position>& PositionsOf(const HomeJob& job);
  [[nodiscard]] std::vector<const Queue*> Queues() const;

  ServiceDocument in_force;
  Placement policy;
  std::uint64_t seed;
  std::map<ClientAccount, AccountState> client_accounts;
  // The queues of the quarantined groups.
  std::map<JobGroupId, Queue> quarantined;
  std::uint32_t queued_count = 0;
  Duration queued_total{};
  std::map<JobGroupId, Duration> queued_of_groups;
  Quarantine isolation;
  GroupDemand group_demand;
  UrgentReserve reserve;
  Backlog peers;
  // Part of `queued_total`.
  Duration queued_late{};
  Duration run_time{};
  InterferenceEstimator estimator;
  double retry_tokens = 0;
  double error_ratio = 1.0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_SERVICE_STATE_H_
