#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_SERVICE_DOCUMENT_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_SERVICE_DOCUMENT_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// How an upstream is chosen among those with a free slot. All but the first
// are baselines for experiments.
BOOST_DEFINE_ENUM_CLASS(PlacementKind, kFastestFree, kRandom, kRoundRobin,
                        kTwoChoices)
// In which order queued jobs are served.
// kLeastSlack: the job that must start first to meet its objective; then those
// that can't meet it any more.
BOOST_DEFINE_ENUM_CLASS(OrderKind, kShortestRemaining, kFirstInFirstOut,
                        kLeastSlack)

struct ClientAccountPolicy {
  ClientAccount client_account;
  // Share of the slots under contention, relative to the other client accounts.
  std::uint32_t weight = 1;
  // Most tasks that may run at once through one entry.
  std::uint32_t maximum_running = 0;
};
BOOST_DESCRIBE_STRUCT(ClientAccountPolicy, (),
                      (client_account, weight, maximum_running))

// A queue of the service: where callers submit its jobs.
struct Route {
  std::string host;
  std::string path_prefix;
  // How long a caller waits where its request does not say.
  Duration timeout{};
  // 0 goes first.
  std::uint32_t priority = 0;
  // Runs of one task that may end as failed before its job fails.
  std::uint32_t maximum_attempts = 1;
  // A job's latency objective: so many hundredths of its longest task, and
  // this besides.
  std::uint32_t objective_percent = 0;
  Duration objective_latency{};

  [[nodiscard]] Duration Objective(Duration longest_task) const {
    constexpr std::int64_t kPercent = 100;
    return longest_task * this->objective_percent / kPercent +
           this->objective_latency;
  }
};
BOOST_DESCRIBE_STRUCT(Route, (),
                      (host, path_prefix, timeout, priority, maximum_attempts,
                       objective_percent, objective_latency))

// The document that governs one service, checked.
struct ServiceDocument {
  ServiceName service;
  // 0 in a document that was not stored yet.
  DocumentVersion version;
  ChangeId change_id;
  ClientAccount owner;
  PlacementKind placement = PlacementKind::kFastestFree;
  OrderKind order = OrderKind::kShortestRemaining;
  std::uint32_t maximum_queued_tasks = 0;
  std::uint32_t maximum_tasks_per_job = 0;
  Duration default_deadline{};
  Duration maximum_deadline{};
  Duration duplicate_window{};
  // Retries allowed for each hundred starts, besides a small reserve.
  std::uint32_t retry_percent = 0;
  // Largest part of the upstreams that may be on probation at once.
  std::uint32_t maximum_ejected_percent = 0;
  // Empty: any client account may submit, all with weight 1.
  std::vector<ClientAccountPolicy> client_accounts;
  std::vector<Route> routes;
};
BOOST_DESCRIBE_STRUCT(ServiceDocument, (),
                      (service, version, change_id, owner, placement, order,
                       maximum_queued_tasks, maximum_tasks_per_job,
                       default_deadline, maximum_deadline, duplicate_window,
                       retry_percent, maximum_ejected_percent, client_accounts,
                       routes))

// Checks the text of a service document. `source` names it in errors.
Result<ServiceDocument> ParseServiceDocument(const std::string& text,
                                             const std::string& source);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_SERVICE_DOCUMENT_H_
