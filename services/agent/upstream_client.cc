#include "services/agent/upstream_client.h"

#include <chrono>
#include <string>
#include <utility>

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kControlConnections = 2;
constexpr Duration kControlTimeout = std::chrono::seconds(2);
// How long after a task's deadline its answer is still awaited.
constexpr Duration kAnswerGrace = std::chrono::seconds(5);

std::string TaskPath(const TaskId& task) {
  return "/v1/tasks/" + task.key.ToHex() + "-" +
         std::to_string(task.task.value());
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

UpstreamResult ToUpstreamResult(const HttpResult& result) {
  switch (result.progress) {
    case HttpProgress::kNotSent:
    case HttpProgress::kConnectionRefused:
      return UpstreamResult::kNotSent;
    case HttpProgress::kUnknown:
      return UpstreamResult::kBroken;
    case HttpProgress::kAnswered:
      break;
  }
  return result.response.result() == http::status::ok
             ? UpstreamResult::kSucceeded
             : UpstreamResult::kFailed;
}

}  // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context& thread,
                               const Endpoint& endpoint,
                               std::size_t connections, Duration lease,
                               CompletionCallback callback)
    : context(thread),
      task_client(HttpClient::Create(thread, endpoint, connections)),
      control_client(HttpClient::Create(thread, endpoint, kControlConnections)),
      lease_duration(lease),
      on_completion(std::move(callback)) {}

void UpstreamClient::Run(const RunOnUpstream& task) {
  HttpRequest request =
      MakeHttpRequest(http::verb::post, TaskPath(task.task), task.body.bytes());
  request.set("Lease-Ms", Milliseconds(this->lease_duration));
  request.set("Time-Left-Ms", Milliseconds(task.time_left));
  this->renewal_timers.emplace(
      task.task, std::make_unique<boost::asio::steady_timer>(this->context));
  this->ScheduleRenewal(task.task);
  const auto started_at = std::chrono::steady_clock::now();
  this->task_client->Send(
      std::move(request), task.time_left + kAnswerGrace,
      [this, id = task.task, started_at](const HttpResult& result) {
        this->renewal_timers.erase(id);
        const auto elapsed = std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now() - started_at);
        this->on_completion({id, ToUpstreamResult(result),
                             Payload::FromBytes(result.response.body()),
                             elapsed});
      });
}

void UpstreamClient::Stop(const TaskId& task) {
  this->control_client->Send(
      MakeHttpRequest(http::verb::delete_, TaskPath(task), ""), kControlTimeout,
      [](const HttpResult&) {});
}

void UpstreamClient::ScheduleRenewal(const TaskId& task) {
  const auto found = this->renewal_timers.find(task);
  if (found == this->renewal_timers.end()) return;
  found->second->expires_after(this->lease_duration / 2);
  found->second->async_wait([this, task](boost::system::error_code error) {
    if (error) return;
    HttpRequest request =
        MakeHttpRequest(http::verb::post, TaskPath(task) + "/lease", "");
    request.set("Lease-Ms", Milliseconds(this->lease_duration));
    this->control_client->Send(std::move(request), kControlTimeout,
                               [](const HttpResult&) {});
    this->ScheduleRenewal(task);
  });
}

}  // namespace dandelionspur
