#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_SERVICE_DOCUMENT_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_SERVICE_DOCUMENT_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// The policy that chooses among the upstreams with a free slot.
// kFastestFree: the upstream that has run tasks fastest.
// kSoonestEnd: the upstream where the task is expected to end first, for
// services whose upstreams are often full. Tasks leave room for others of
// higher priority, and late jobs yield to those of other entries.
// The others are baselines for experiments.
BOOST_DEFINE_ENUM_CLASS(PlacementKind, kFastestFree, kRandom, kRoundRobin,
                        kTwoChoices, kSoonestEnd)
// The order in which queued jobs are served.
// kLeastSlack: jobs that can still meet their latency objective come first, by
// the latest time at which they must start; then jobs that can no longer do so.
BOOST_DEFINE_ENUM_CLASS(OrderKind, kShortestRemaining, kFirstInFirstOut,
                        kLeastSlack)

// What is done about groups of jobs that slow each other down at an upstream.
// kIgnore: nothing. kKeepApart: their tasks run at different upstreams where
// there is room.
BOOST_DEFINE_ENUM_CLASS(InterferenceHandling, kIgnore, kKeepApart)

struct ClientAccountPolicy {
  ClientAccount client_account;
  // The share of slots under contention, relative to other client accounts.
  std::uint32_t weight = 1;
  // The maximum number of tasks that run concurrently through one entry.
  std::uint32_t maximum_running = 0;
};
BOOST_DESCRIBE_STRUCT(ClientAccountPolicy, (),
                      (client_account, weight, maximum_running))

// An address at which callers submit a service's jobs, with the defaults for
// jobs submitted there.
struct Route {
  std::string host;
  std::string path_prefix;
  // How long a caller waits if its request doesn't state a time.
  Duration timeout{};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // The number of failed runs of one task after which its job fails.
  std::uint32_t maximum_attempts = 1;
  // A job's latency objective is this percentage of the duration of its longest
  // task plus `objective_latency`.
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

// The validated configuration of one service.
struct ServiceDocument {
  ServiceName service;
  // 0 in a document that has not been stored yet.
  DocumentVersion version;
  ChangeId change_id;
  ClientAccount owner;
  // Not set: what the settings of each entry say.
  std::optional<PlacementKind> placement;
  OrderKind order = OrderKind::kShortestRemaining;
  std::uint32_t maximum_queued_tasks = 0;
  std::uint32_t maximum_tasks_per_job = 0;
  Duration default_deadline{};
  Duration maximum_deadline{};
  Duration duplicate_window{};
  // Retry budget: retries allowed per hundred starts, plus a small reserve.
  std::uint32_t retry_percent = 0;
  // Outlier ejection: the largest percentage of the upstreams that may be on
  // probation at the same time.
  std::uint32_t maximum_ejected_percent = 0;
  // Quarantine of groups of jobs that crash upstreams: the largest percentage
  // of the service's capacity that may be set aside for them. 0: none is
  // quarantined.
  std::uint32_t maximum_quarantined_percent = 0;
  // Not set: as the entry's settings say.
  std::optional<InterferenceHandling> interference;
  // Empty: any client account may submit, all with weight 1.
  std::vector<ClientAccountPolicy> client_accounts;
  std::vector<Route> routes;
};
BOOST_DESCRIBE_STRUCT(ServiceDocument, (),
                      (service, version, change_id, owner, placement, order,
                       maximum_queued_tasks, maximum_tasks_per_job,
                       default_deadline, maximum_deadline, duplicate_window,
                       retry_percent, maximum_ejected_percent,
                       maximum_quarantined_percent, interference,
                       client_accounts, routes))

class ObjectReader;
// Reads the optional field `placement`.
PlacementKind ReadPlacement(ObjectReader& reader);
// Reads the optional field `interference`.
InterferenceHandling ReadInterference(ObjectReader& reader);

// Parses and validates the text of a service document. Errors name the text by
// `source`, the field and the allowed values.
Result<ServiceDocument> ParseServiceDocument(const std::string& text,
                                             const std::string& source);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_SERVICE_DOCUMENT_H_
