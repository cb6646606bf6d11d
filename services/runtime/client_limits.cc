#include "services/runtime/client_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "libraries/base/enum_name.h"
#include "libraries/decision_log/log_events.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {
namespace {

// Callers may hold this part of the process's memory.
constexpr std::uint64_t kMemoryPart = 8;
constexpr std::uint64_t kUnlimitedHeldBytes = 256ULL * 1024 * 1024;
// More than any announcement of an upstream has.
constexpr std::uint64_t kShortBodyBytes = 1024ULL * 1024;
// Beside the largest body, so that a single request is always served.
constexpr std::uint64_t kBesideBodyBytes = 4ULL * 1024 * 1024;
// Descriptors that callers leave to links, the table, upstreams and files.
constexpr std::size_t kReservedPart = 8;
constexpr std::size_t kReservedDescriptors = 64;
// Connections to an endpoint that isn't for callers.
constexpr std::size_t kOthersPart = 16;
constexpr std::size_t kOthersConnections = 16;
constexpr std::size_t kMaximumDescriptors = 65'536;
constexpr std::chrono::seconds kLineInterval{1};

std::size_t SystemDescriptors() {
  rlimit limit{};
  const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  if (!known || limit.rlim_cur > kMaximumDescriptors) {
    return kMaximumDescriptors;
  }
  return limit.rlim_cur;
}

std::uint64_t HeldBytes(const ClientLimitSettings& configured,
                        std::uint64_t share) {
  if (configured.held_bytes != 0) return configured.held_bytes;
  return std::max(share, configured.body_bytes + kBesideBodyBytes);
}

// The settings with a largest body, of `usual` bytes unless they have one.
ClientLimitSettings WithBody(ClientLimitSettings configured,
                             std::uint64_t usual) {
  if (configured.body_bytes == 0) configured.body_bytes = usual;
  return configured;
}

HttpLimits BaseLimits(const ClientLimitSettings& configured,
                      std::uint64_t share) {
  HttpLimits limits;
  limits.header_bytes = configured.header_bytes;
  limits.body_bytes = configured.body_bytes;
  limits.framing_bytes = configured.framing_bytes;
  limits.request_time = configured.request_time;
  limits.answer_time = configured.answer_time;
  limits.held_bytes = HeldBytes(configured, share);
  return limits;
}

std::uint64_t ShareOf(std::uint64_t memory_bytes) {
  return memory_bytes == 0 ? kUnlimitedHeldBytes : memory_bytes / kMemoryPart;
}

std::size_t CallerConnections(std::size_t descriptors) {
  const std::size_t reserved =
      std::max(kReservedDescriptors, descriptors / kReservedPart);
  return descriptors > reserved ? descriptors - reserved : 1;
}

// Leaves some connections to callers who come while all others wait for their
// answers.
std::size_t RequestsInWork(std::size_t connections) {
  constexpr std::size_t kFreePart = 16;
  return connections - connections / kFreePart;
}

}  // namespace

void LimitReports::Report(HttpLimit limit) {
  const std::string name(EnumName(limit));
  this->metrics.Count("client_limits_reached_total", "limit", name);
  const std::uint64_t times = this->Note(limit);
  if (times == 0) return;
  LogEvent(LogCategory::kFailure,
           ClientLimitReached{this->endpoint, name, times});
}

std::uint64_t LimitReports::Note(HttpLimit limit) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Unlogged& kind = this->unlogged.at(static_cast<std::size_t>(limit));
  ++kind.times;
  const auto now = Clock::now();
  if (kind.last_line && now - *kind.last_line < kLineInterval) return 0;
  kind.last_line = now;
  return std::exchange(kind.times, 0);
}

ClientLimits::ClientLimits(const ClientLimitSettings& configured,
                           std::uint64_t memory_bytes, Metrics& counters)
    : ClientLimits(
          BaseLimits(
              WithBody(configured,
                       std::min(ClientLimitSettings::kMaximumUsualBodyBytes,
                                ShareOf(memory_bytes))),
              ShareOf(memory_bytes)),
          configured, counters) {}

ClientLimits::ClientLimits(const ClientLimitSettings& configured,
                           Metrics& counters)
    : ClientLimits(BaseLimits(WithBody(configured, kShortBodyBytes), 0),
                   configured, counters) {}

ClientLimits::ClientLimits(const HttpLimits& derived,
                           const ClientLimitSettings& configured,
                           Metrics& counters)
    : limits(derived),
      descriptors(configured.descriptors != 0 ? configured.descriptors
                                              : SystemDescriptors()),
      caller_connections(configured.connections != 0
                             ? configured.connections
                             : CallerConnections(this->descriptors)),
      metrics(counters) {}

HttpServerOptions ClientLimits::ForCallers(const std::string& endpoint,
                                           HttpConnectionObserver ended,
                                           HttpRefusal refuse_overload) const {
  HttpServerOptions options = this->Options(endpoint, this->caller_connections);
  options.limits.requests = RequestsInWork(this->caller_connections);
  options.connection_ended = std::move(ended);
  options.refuse_overload = std::move(refuse_overload);
  return options;
}

HttpServerOptions ClientLimits::ForOthers(const std::string& endpoint) const {
  return this->Options(
      endpoint, std::max(kOthersConnections, this->descriptors / kOthersPart));
}

HttpServerOptions ClientLimits::Options(const std::string& endpoint,
                                        std::size_t connections) const {
  HttpServerOptions options;
  options.limits = this->limits;
  options.limits.connections = connections;
  const auto reports = std::make_shared<LimitReports>(endpoint, this->metrics);
  options.limit_reached = [reports](HttpLimit limit) {
    reports->Report(limit);
  };
  return options;
}

}  // namespace dandelionspur
