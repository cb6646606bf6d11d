#ifndef DANDELIONSPUR_SERVICES_RUNTIME_CLIENT_LIMITS_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_CLIENT_LIMITS_H_

#include <array>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libraries/configuration/settings.h"
#include "libraries/network/http_server.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

// Counts the limits that the callers of an endpoint reach, and logs them at
// most once a second each. Safe from any thread.
class LimitReports {
 public:
  // `counters` must outlive the reports.
  LimitReports(std::string endpoint_name, Metrics& counters)
      : endpoint(std::move(endpoint_name)), metrics(counters) {}

  void Report(HttpLimit limit);

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::size_t kLimits = boost::mp11::mp_size<
      boost::describe::describe_enumerators<HttpLimit>>::value;
  struct Unlogged {
    std::uint64_t times = 0;
    std::optional<Clock::time_point> last_line;
  };

  // Returns the number to log now; 0 for no line.
  std::uint64_t Note(HttpLimit limit);

  const std::string endpoint;
  Metrics& metrics;
  std::mutex mutex;
  std::array<Unlogged, kLimits> unlogged;
};

// The options of the HTTP servers of a process that the settings call for.
// Limits that aren't set follow the memory and the descriptors of the process.
class ClientLimits {
 public:
  // `memory_bytes`: the process is killed above them; 0: not limited.
  ClientLimits(const ClientLimitSettings& configured,
               std::uint64_t memory_bytes, Metrics& counters);
  // For a process whose callers send short messages, whatever its memory.
  ClientLimits(const ClientLimitSettings& configured, Metrics& counters);

  // For the endpoint of callers, who take most of the descriptors.
  [[nodiscard]] HttpServerOptions ForCallers(const std::string& endpoint,
                                             HttpConnectionObserver ended,
                                             HttpRefusal refuse_overload) const;
  // For any other endpoint.
  [[nodiscard]] HttpServerOptions ForOthers(const std::string& endpoint) const;

 private:
  ClientLimits(const HttpLimits& derived, const ClientLimitSettings& configured,
               Metrics& counters);
  [[nodiscard]] HttpServerOptions Options(const std::string& endpoint,
                                          std::size_t connections) const;

  HttpLimits limits;
  std::size_t descriptors = 0;
  std::size_t caller_connections = 0;
  Metrics& metrics;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_CLIENT_LIMITS_H_
