#ifndef DANDELIONSPUR_SERVICES_AGENT_UPSTREAM_CLIENT_H_
#define DANDELIONSPUR_SERVICES_AGENT_UPSTREAM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

#include "libraries/agent_core/agent_events.h"
#include "libraries/network/http_client.h"

namespace dandelionspur {

// Runs tasks on the agent's local upstream, each under a lease that is renewed
// while the task runs. Everything runs on one io_context.
class UpstreamClient {
 public:
  using CompletionCallback = std::function<void(UpstreamTaskCompleted)>;

  UpstreamClient(boost::asio::io_context& thread, const Endpoint& endpoint,
                 std::size_t connections, Duration lease,
                 CompletionCallback callback);
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Run(const RunOnUpstream& task);
  void Stop(const TaskId& task);

 private:
  void ScheduleRenewal(const TaskId& task);

  boost::asio::io_context& context;
  std::shared_ptr<HttpClient> task_client;
  // Separate connections, so that a stop or a lease renewal never queues behind
  // a task.
  std::shared_ptr<HttpClient> control_client;
  Duration lease_duration;
  CompletionCallback on_completion;
  std::map<TaskId, std::unique_ptr<boost::asio::steady_timer>> renewal_timers;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_UPSTREAM_CLIENT_H_
