#include "libraries/configuration/settings.h"

#include <boost/asio/ip/address.hpp>
#include <type_traits>

#include "libraries/base/resources.h"
#include "libraries/configuration/object_reader.h"

namespace dandelionspur {
namespace {

constexpr IntegerRange kMillicoreRange{1, 1'024'000};
constexpr IntegerRange kThreadRange{0, 64};
constexpr IntegerRange kBucketRange{1, 4096};
constexpr IntegerRange kConnectionRange{1, 1024};
constexpr IntegerRange kRememberedTasksRange{1'000, 10'000'000};
constexpr IntegerRange kByteRange{1'024, 1'073'741'824};
constexpr IntegerRange kDuplicateWindowRangeMilliseconds{1'000, 86'400'000};
constexpr IntegerRange kSuspectRangeMilliseconds{100, 60'000};
constexpr IntegerRange kRemoveRangeMilliseconds{200, 600'000};
constexpr IntegerRange kLeaseRangeMilliseconds{200, 600'000};
constexpr IntegerRange kDrainRangeMilliseconds{0, 600'000};
constexpr IntegerRange kStopRangeMilliseconds{1'000, 3'600'000};
constexpr IntegerRange kLogLinesPerSecondRange{0, 100'000};
constexpr IntegerRange kJobsFollowedRange{0, 1'000};
constexpr IntegerRange kWriteIntervalRangeMilliseconds{100, 3'600'000};
constexpr IntegerRange kHeaderBytesRange{1'024, 1'048'576};
constexpr IntegerRange kClientTimeRangeMilliseconds{100, 3'600'000};
constexpr IntegerRange kDescriptorRange{64, 1'048'576};
constexpr IntegerRange kClientConnectionRange{1, 1'048'576};

constexpr IntegerRange kLinkRangeKilobits{100, 1'000'000'000};
constexpr IntegerRange kMemoryRangeMegabytes{16, 1'048'576};

constexpr std::int64_t kDefaultLinkKilobits = 1'000'000;
constexpr std::int64_t kDefaultThreads = 2;
constexpr std::int64_t kDefaultBuckets = 128;
constexpr std::int64_t kDefaultConnections = 60;
constexpr std::int64_t kDefaultRememberedTasks = 200'000;
constexpr std::int64_t kDefaultAnswerBytes = 16'777'216;
constexpr std::int64_t kDefaultSpoolBytes = 16'777'216;
constexpr Duration kDefaultDuplicateWindow = std::chrono::minutes(10);
constexpr Duration kDefaultSuspectAfter = std::chrono::milliseconds(1'000);
constexpr Duration kDefaultRemoveAfter = std::chrono::milliseconds(5'000);
constexpr Duration kDefaultLease = std::chrono::seconds(10);
constexpr Duration kDefaultDrainAccepts = std::chrono::milliseconds(2'000);
constexpr Duration kDefaultStopWithin = std::chrono::seconds(6);
// The time that a graceful shutdown needs after it stops accepting callers, to
// answer open requests and hand over the entry's buckets.
constexpr Duration kMinimumHandOverTime = std::chrono::milliseconds(1'000);
// At most about 45 KB/s of log.
constexpr std::uint32_t kDefaultLogLines = 300;
constexpr std::uint32_t kDefaultJobsFollowed = 10;
constexpr Duration kDefaultWriteInterval = std::chrono::seconds(10);

void CheckAddress(ObjectReader& reader, const std::string& name,
                  const Endpoint& endpoint) {
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint.address, error);
  if (error) reader.ReportProblem(name, "must be an IP number");
}

Endpoint ReadEndpointText(ObjectReader& reader, const std::string& name) {
  return OrElse([&] { return ParseEndpoint(reader.Text(name)); },
                [&](const std::string& problem) {
                  reader.ReportProblem(name, problem + " or an object of both");
                  return Endpoint();
                });
}

Endpoint ReadEndpoint(ObjectReader& reader, const std::string& name) {
  if (reader.IsText(name)) return ReadEndpointText(reader, name);
  ObjectReader nested = reader.Object(name);
  Endpoint endpoint;
  endpoint.address = nested.Text("address");
  endpoint.port =
      static_cast<std::uint16_t>(nested.Integer("port", kPortRange));
  CheckAddress(nested, "address", endpoint);
  reader.FinishNested(nested);
  return endpoint;
}

std::optional<Endpoint> ReadOptionalEndpoint(ObjectReader& reader,
                                             const std::string& name) {
  if (!reader.Has(name)) return std::nullopt;
  return ReadEndpoint(reader, name);
}

UpstreamProtocol ReadUpstreamProtocol(ObjectReader& reader,
                                      UpstreamProtocol otherwise) {
  return static_cast<UpstreamProtocol>(
      reader.ChoiceOr("upstream_protocol", {"own", "platform"},
                      static_cast<std::size_t>(otherwise)));
}

// Returns the capacity of the link in bytes a second.
std::uint64_t ReadLink(ObjectReader& reader) {
  constexpr std::uint64_t kBytesPerKilobit = 125;
  return kBytesPerKilobit *
         static_cast<std::uint64_t>(reader.ThousandthsOr(
             "link_mbps", kLinkRangeKilobits, kDefaultLinkKilobits));
}

// Returns the limit in bytes; 0 if there is none.
std::uint64_t ReadMemoryLimit(ObjectReader& reader) {
  constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
  if (!reader.Has("memory_mb")) return 0;
  return kBytesPerMegabyte * static_cast<std::uint64_t>(reader.Integer(
                                 "memory_mb", kMemoryRangeMegabytes));
}

RecordingSettings ReadRecording(ObjectReader& reader) {
  // The part of the link that recording may use.
  constexpr std::uint64_t kRecordingPart = 20;
  RecordingSettings settings{kDefaultSpoolBytes, kDefaultWriteInterval,
                             ReadLink(reader) / kRecordingPart};
  if (!reader.Has("recording")) return settings;
  ObjectReader nested = reader.Object("recording");
  settings.spool_bytes = static_cast<std::uint64_t>(
      nested.IntegerOr("spool_bytes", kByteRange, kDefaultSpoolBytes));
  settings.write_interval = nested.MillisecondsOr(
      "write_interval_ms", kWriteIntervalRangeMilliseconds,
      kDefaultWriteInterval);
  reader.FinishNested(nested);
  return settings;
}

ClientLimitSettings ReadClientLimits(ObjectReader& reader) {
  ClientLimitSettings limits;
  if (!reader.Has("client_limits")) return limits;
  ObjectReader nested = reader.Object("client_limits");
  const auto integer = [&](const char* name, IntegerRange range, auto& value) {
    using Value = std::decay_t<decltype(value)>;
    value = static_cast<Value>(
        nested.IntegerOr(name, range, static_cast<std::int64_t>(value)));
  };
  integer("header_bytes", kHeaderBytesRange, limits.header_bytes);
  integer("framing_bytes", kByteRange, limits.framing_bytes);
  limits.request_time = nested.SecondsOr(
      "request_s", kClientTimeRangeMilliseconds, limits.request_time);
  limits.answer_time = nested.SecondsOr(
      "answer_s", kClientTimeRangeMilliseconds, limits.answer_time);
  const auto if_given = [&](const char* name, IntegerRange range, auto& value) {
    if (nested.Has(name)) integer(name, range, value);
  };
  if_given("body_bytes", kByteRange, limits.body_bytes);
  if_given("held_bytes", kByteRange, limits.held_bytes);
  if_given("descriptors", kDescriptorRange, limits.descriptors);
  if_given("connections", kClientConnectionRange, limits.connections);
  const std::uint64_t largest_body =
      limits.body_bytes != 0 ? limits.body_bytes
                             : ClientLimitSettings::kMaximumUsualBodyBytes;
  if (limits.held_bytes != 0 && limits.held_bytes <= largest_body) {
    nested.ReportProblem("held_bytes", "must be above body_bytes");
  }
  reader.FinishNested(nested);
  return limits;
}

LogSettings ReadLog(ObjectReader& reader) {
  LogSettings settings{kDefaultLogLines, kDefaultJobsFollowed};
  if (!reader.Has("log")) return settings;
  ObjectReader nested = reader.Object("log");
  settings.lines_per_second = static_cast<std::uint32_t>(nested.IntegerOr(
      "lines_per_second", kLogLinesPerSecondRange, kDefaultLogLines));
  settings.jobs_followed_per_thousand = static_cast<std::uint32_t>(
      nested.IntegerOr("jobs_followed_per_thousand", kJobsFollowedRange,
                       kDefaultJobsFollowed));
  reader.FinishNested(nested);
  return settings;
}

}  // namespace

Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source) {
  BOOST_LEAF_AUTO(json, ParseJsonWithComments(text, source));
  ObjectReader reader(source, "", json);
  EntrySettings settings;
  settings.data_centre = DataCentreName(reader.Text("data_centre"));
  settings.callers = ReadEndpoint(reader, "callers");
  settings.readiness = ReadOptionalEndpoint(reader, "readiness");
  settings.peers = ReadEndpoint(reader, "peers");
  settings.admin = ReadEndpoint(reader, "admin");
  settings.table = ReadEndpoint(reader, "table");
  // Only the platform asks for readiness.
  settings.upstream_protocol = ReadUpstreamProtocol(
      reader, settings.readiness ? UpstreamProtocol::kPlatform
                                 : UpstreamProtocol::kOwn);
  settings.millicores = static_cast<std::uint32_t>(
      reader.ThousandthsOr("cores", kMillicoreRange, kMillicoresPerCore));
  settings.input_output_threads = static_cast<std::uint32_t>(
      reader.IntegerOr("input_output_threads", kThreadRange, kDefaultThreads));
  settings.bucket_count = static_cast<std::uint32_t>(
      reader.IntegerOr("bucket_count", kBucketRange, kDefaultBuckets));
  settings.duplicate_window = reader.MillisecondsOr(
      "duplicate_window_ms", kDuplicateWindowRangeMilliseconds,
      kDefaultDuplicateWindow);
  settings.suspect_after = reader.MillisecondsOr(
      "suspect_after_ms", kSuspectRangeMilliseconds, kDefaultSuspectAfter);
  settings.remove_after = reader.MillisecondsOr(
      "remove_after_ms", kRemoveRangeMilliseconds, kDefaultRemoveAfter);
  settings.lease =
      reader.MillisecondsOr("lease_ms", kLeaseRangeMilliseconds, kDefaultLease);
  settings.drain_accepts = reader.MillisecondsOr(
      "drain_accepts_ms", kDrainRangeMilliseconds, kDefaultDrainAccepts);
  settings.stop_within = reader.SecondsOr(
      "stop_within_s", kStopRangeMilliseconds, kDefaultStopWithin);
  settings.client_limits = ReadClientLimits(reader);
  settings.placement = ReadPlacement(reader);
  settings.interference = ReadInterference(reader);
  settings.agents_are_listed = reader.BooleanOr("agents_are_listed", false);
  settings.link_bytes_per_second = ReadLink(reader);
  settings.memory_bytes = ReadMemoryLimit(reader);
  settings.recording = ReadRecording(reader);
  settings.log = ReadLog(reader);
  if (settings.stop_within < settings.drain_accepts + kMinimumHandOverTime) {
    reader.ReportProblem("stop_within_s",
                         "must be at least 1 s above drain_accepts_ms");
  }
  if (settings.remove_after < settings.suspect_after) {
    reader.ReportProblem("remove_after_ms",
                         "must not be below suspect_after_ms");
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return settings;
}

Result<AgentSettings> ParseAgentSettings(const std::string& text,
                                         const std::string& source) {
  BOOST_LEAF_AUTO(json, ParseJsonWithComments(text, source));
  ObjectReader reader(source, "", json);
  AgentSettings settings;
  settings.data_centre = DataCentreName(reader.Text("data_centre"));
  settings.admin = ReadEndpoint(reader, "admin");
  settings.upstream_protocol =
      ReadUpstreamProtocol(reader, UpstreamProtocol::kOwn);
  settings.announcements = ReadOptionalEndpoint(reader, "announcements");
  const bool uses_platform_protocol =
      settings.upstream_protocol == UpstreamProtocol::kPlatform;
  if (uses_platform_protocol && !settings.announcements) {
    reader.ReportProblem("announcements",
                         "is required by this upstream_protocol");
  }
  settings.input_output_threads = static_cast<std::uint32_t>(
      reader.IntegerOr("input_output_threads", kThreadRange, 1));
  settings.table = ReadEndpoint(reader, "table");
  settings.upstream_connections = static_cast<std::uint32_t>(reader.IntegerOr(
      "upstream_connections", kConnectionRange, kDefaultConnections));
  settings.bucket_count = static_cast<std::uint32_t>(
      reader.IntegerOr("bucket_count", kBucketRange, kDefaultBuckets));
  settings.maximum_remembered_tasks = static_cast<std::uint32_t>(
      reader.IntegerOr("maximum_remembered_tasks", kRememberedTasksRange,
                       kDefaultRememberedTasks));
  settings.maximum_answer_bytes = static_cast<std::uint64_t>(reader.IntegerOr(
      "maximum_answer_bytes", kByteRange, kDefaultAnswerBytes));
  settings.duplicate_window = reader.MillisecondsOr(
      "duplicate_window_ms", kDuplicateWindowRangeMilliseconds,
      kDefaultDuplicateWindow);
  settings.lease =
      reader.MillisecondsOr("lease_ms", kLeaseRangeMilliseconds, kDefaultLease);
  settings.client_limits = ReadClientLimits(reader);
  settings.lists_address = reader.BooleanOr("lists_address", false);
  settings.recording = ReadRecording(reader);
  settings.log = ReadLog(reader);
  BOOST_LEAF_CHECK(reader.Finish());
  return settings;
}

}  // namespace dandelionspur
