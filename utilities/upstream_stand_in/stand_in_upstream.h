#ifndef DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_STAND_IN_UPSTREAM_H_
#define DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_STAND_IN_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/network/http_client.h"

namespace dandelionspur {

struct UpstreamOptions {
  std::uint16_t port = 0;
  // Admin port of the upstream's agent.
  std::uint16_t agent_port = 0;
  std::string service;
  std::string rack;
  std::uint32_t slots = 0;
  // Factor on the duration of each task.
  double slowness = 1.0;
};

// A stand-in for a worker's upstream. Tasks are {"sleep_ms", "outcome":
// "ok"|"fail"|"crash", "token"}; the answer repeats the token. A task that
// crashes ends the process without notice. Every start is logged, so that tests
// can compare results with this log. Must be used from one thread.
//
//   POST   /v1/tasks/ID          runs a task under Lease-Ms
//   POST   /v1/tasks/ID/lease    renews the lease
//   DELETE /v1/tasks/ID          stops the task
//   POST   /v1/tasks/ID/checkpoint
//   GET    /v1/starts            {"starts": [{"task", "at_us"}]}
//   GET    /v1/usage             number of running tasks, sampled every second
//   PUT    /faults               {"mode": "ok"|"fail"|"hang", "slowness"}
class StandInUpstream {
 public:
  StandInUpstream(const UpstreamOptions& configured,
                  boost::asio::io_context& thread);
  StandInUpstream(const StandInUpstream&) = delete;
  StandInUpstream& operator=(const StandInUpstream&) = delete;

  // Announces the upstream to its agent now and periodically afterwards, since
  // agents may restart.
  void Announce();
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  enum class Mode { kNormal, kFailEverything, kHang };
  struct RunningTask {
    explicit RunningTask(HttpResponder respond)
        : responder(std::move(respond)) {}

    HttpResponder responder;
    std::string token;
    bool fails = false;
    bool crashes = false;
    std::unique_ptr<boost::asio::steady_timer> completion;
    std::unique_ptr<boost::asio::steady_timer> lease;
  };
  struct LoggedStart {
    std::string task;
    std::int64_t at_microseconds = 0;
  };

  void StartTask(const std::string& id, const HttpRequest& request,
                 const HttpResponder& responder);
  void ArmLease(const std::string& id, const HttpRequest& request);
  void EndTask(const std::string& id, unsigned status, const std::string& body);
  void SetFaults(const std::string& body);
  void SampleUsage();

  UpstreamOptions options;
  boost::asio::io_context& context;
  std::shared_ptr<HttpClient> agent;
  boost::asio::steady_timer announce_timer;
  boost::asio::steady_timer usage_timer;
  Mode mode = Mode::kNormal;
  std::map<std::string, RunningTask> running;
  std::vector<LoggedStart> starts;
  std::size_t reported_usage = 0;
  std::size_t checkpoints = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_STAND_IN_UPSTREAM_H_
