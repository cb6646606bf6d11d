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

// Runs tasks on the upstream beside the agent, each under a lease that is
// renewed while the task runs. Everything runs on one io_context.
class UpstreamClient {
 public:
  using EndedCallback = std::function<void(UpstreamTaskCompleted)>;

  UpstreamClient(boost::asio::io_context& thread, const Endpoint& endpoint,
                 std::size_t connections, Duration lease,
                 EndedCallback callback);
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Run(const RunOnUpstream& task);
  void Stop(const TaskId& task);

 private:
  void RenewLater(const TaskId& task);

  boost::asio::io_context& context;
  // Separate from the tasks' connections, so that a stop or a renewal never
  // waits behind a task.
  std::shared_ptr<HttpClient> tasks;
  std::shared_ptr<HttpClient> control;
  Duration lease_time;
  EndedCallback ended;
  std::map<TaskId, std::unique_ptr<boost::asio::steady_timer>> renewals;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_UPSTREAM_CLIENT_H_
