#include "libraries/configuration/service_document.h"

#include <algorithm>

#include "libraries/configuration/long_list.h"
#include "libraries/configuration/object_reader.h"
#include "libraries/configuration/plain_object.h"
#include "libraries/configuration/route_limits.h"
#include "libraries/protocol/job.h"

namespace dandelionspur {
namespace {

constexpr IntegerRange kVersionRange{0, INT64_MAX};
constexpr IntegerRange kQueueRange{1, 10'000'000};
constexpr IntegerRange kTasksRange{
    1, static_cast<std::int64_t>(kMaximumTasksPerJob)};
constexpr IntegerRange kDeadlineRangeMilliseconds{1, 3'600'000};
constexpr IntegerRange kDuplicateWindowRangeMilliseconds{1'000, 86'400'000};
constexpr IntegerRange kPercentRange{0, 100};
constexpr IntegerRange kWeightRange{1, 1'000};
constexpr IntegerRange kRunningRange{1, 1'000'000};

constexpr std::int64_t kDefaultQueuedTasks = 20'000;
constexpr std::int64_t kDefaultRetryPercent = 10;
constexpr std::int64_t kDefaultEjectedPercent = 30;
constexpr std::int64_t kDefaultQuarantinedPercent = 50;
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr Duration kDefaultMaximumDeadline = std::chrono::minutes(5);
constexpr Duration kDefaultRouteTimeout = std::chrono::seconds(30);
constexpr Duration kDefaultDuplicateWindow = std::chrono::minutes(10);

ClientAccountPolicy ReadClientAccount(ObjectReader& reader) {
  ClientAccountPolicy client_account;
  client_account.client_account = ClientAccount(reader.Text("name"));
  client_account.weight =
      static_cast<std::uint32_t>(reader.IntegerOr("weight", kWeightRange, 1));
  client_account.maximum_running = static_cast<std::uint32_t>(reader.IntegerOr(
      "maximum_running", kRunningRange, kRunningRange.maximum));
  return client_account;
}

template <ReadsFields Reader>
Route ReadRoute(Reader& reader) {
  Route route;
  route.host = reader.Text("host");
  route.path_prefix = reader.Text("path_prefix");
  route.timeout = reader.MillisecondsOr(
      "timeout_ms", kRouteTimeoutRangeMilliseconds, kDefaultRouteTimeout);
  route.priority = static_cast<std::uint32_t>(
      reader.IntegerOr("priority", kRoutePriorityRange, 0));
  route.maximum_attempts = static_cast<std::uint32_t>(
      reader.IntegerOr("maximum_attempts", kRouteAttemptsRange, 1));
  route.objective_percent = static_cast<std::uint32_t>(
      reader.IntegerOr("objective_percent", kObjectivePercentRange, 0));
  route.objective_latency = reader.MillisecondsOr(
      "objective_latency_ms", kObjectiveLatencyRangeMilliseconds, Duration());
  return route;
}

void ReadRoutes(ObjectReader& reader, ServiceDocument& document) {
  if (!reader.Has("routes")) return;
  for (ObjectReader& nested : reader.Objects("routes")) {
    document.routes.push_back(ReadRoute(nested));
    reader.FinishNested(nested);
  }
}

void ReadClientAccounts(ObjectReader& reader, ServiceDocument& document) {
  if (!reader.Has("client_accounts")) return;
  for (ObjectReader& nested : reader.Objects("client_accounts")) {
    document.client_accounts.push_back(ReadClientAccount(nested));
    reader.FinishNested(nested);
  }
  for (std::size_t i = 0; i < document.client_accounts.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (document.client_accounts[i].client_account ==
          document.client_accounts[j].client_account) {
        reader.ReportProblem("client_accounts",
                             "must not name a client account twice");
      }
    }
  }
}

Result<ServiceDocument> ParseWholeDocument(const std::string& text,
                                           const std::string& source) {
  BOOST_LEAF_AUTO(json, ParseJsonWithComments(text, source));
  ObjectReader reader(source, "", json);
  ServiceDocument document;
  document.service = ServiceName(reader.Text("service"));
  document.version = DocumentVersion(static_cast<std::uint64_t>(
      reader.IntegerOr("version", kVersionRange, 0)));
  document.change_id = ChangeId(reader.TextOr("change_id", ""));
  document.owner = ClientAccount(reader.Text("owner"));
  if (reader.Has("placement")) document.placement = ReadPlacement(reader);
  document.order = static_cast<OrderKind>(reader.ChoiceOr(
      "order", {"shortest_remaining", "first_in_first_out", "least_slack"}, 0));
  document.maximum_queued_tasks = static_cast<std::uint32_t>(reader.IntegerOr(
      "maximum_queued_tasks", kQueueRange, kDefaultQueuedTasks));
  document.maximum_tasks_per_job = static_cast<std::uint32_t>(
      reader.IntegerOr("maximum_tasks_per_job", kTasksRange,
                       static_cast<std::int64_t>(kMaximumTasksPerJob)));
  document.default_deadline = reader.MillisecondsOr(
      "default_deadline_ms", kDeadlineRangeMilliseconds, kDefaultDeadline);
  document.maximum_deadline =
      reader.MillisecondsOr("maximum_deadline_ms", kDeadlineRangeMilliseconds,
                            kDefaultMaximumDeadline);
  document.duplicate_window = reader.MillisecondsOr(
      "duplicate_window_ms", kDuplicateWindowRangeMilliseconds,
      kDefaultDuplicateWindow);
  document.retry_percent = static_cast<std::uint32_t>(
      reader.IntegerOr("retry_percent", kPercentRange, kDefaultRetryPercent));
  document.maximum_ejected_percent =
      static_cast<std::uint32_t>(reader.IntegerOr(
          "maximum_ejected_percent", kPercentRange, kDefaultEjectedPercent));
  document.maximum_quarantined_percent = static_cast<std::uint32_t>(
      reader.IntegerOr("maximum_quarantined_percent", kPercentRange,
                       kDefaultQuarantinedPercent));
  if (reader.Has("interference")) {
    document.interference = ReadInterference(reader);
  }
  ReadClientAccounts(reader, document);
  ReadRoutes(reader, document);
  if (document.default_deadline > document.maximum_deadline) {
    reader.ReportProblem("default_deadline_ms",
                         "must not exceed maximum_deadline_ms");
  }
  if (document.duplicate_window < document.maximum_deadline) {
    // A key must be remembered for as long as its job may run, so that a
    // duplicate is recognized.
    reader.ReportProblem("duplicate_window_ms",
                         "must not be below maximum_deadline_ms");
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return document;
}

}  // namespace

PlacementKind ReadPlacement(ObjectReader& reader) {
  return static_cast<PlacementKind>(reader.ChoiceOr(
      "placement",
      {"fastest_free", "random", "round_robin", "two_choices", "soonest_end"},
      0));
}

InterferenceHandling ReadInterference(ObjectReader& reader) {
  return static_cast<InterferenceHandling>(
      reader.ChoiceOr("interference", {"ignore", "keep_apart"}, 0));
}

Result<ServiceDocument> ParseServiceDocument(const std::string& text,
                                             const std::string& source) {
  std::optional<LongList<Route>> routes = ReadLongList<Route>(
      text, JsonComments::kIgnored, UnknownFields::kRefused, "routes",
      [](PlainObject& reader) { return ReadRoute(reader); });
  if (!routes) return ParseWholeDocument(text, source);
  BOOST_LEAF_AUTO(document, ParseWholeDocument(routes->rest, source));
  document.routes = std::move(routes->items);
  return document;
}

}  // namespace dandelionspur
