#include "services/agent/upstream_client.h"

#include <chrono>
#include <string>
#include <utility>

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kControlConnections = 2;
constexpr Duration kControlTimeout = std::chrono::seconds(2);
// How long after its deadline a task may still be answered.
constexpr Duration kAnswerGrace = std::chrono::seconds(5);

std::string TaskPath(const TaskId& task) {
  return "/v1/tasks/" + task.key.ToHex() + "-" +
         std::to_string(task.task.value());
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

UpstreamResult ResultOf(const HttpResult& result) {
  switch (result.progress) {
    case HttpProgress::kNotSent:
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
                               EndedCallback callback)
    : context(thread),
      tasks(HttpClient::Create(thread, endpoint, connections)),
      control(HttpClient::Create(thread, endpoint, kControlConnections)),
      lease_time(lease),
      ended(std::move(callback)) {}

void UpstreamClient::Run(const RunOnUpstream& task) {
  HttpRequest request =
      MakeHttpRequest(http::verb::post, TaskPath(task.task), task.body.bytes());
  request.set("Lease-Ms", Milliseconds(this->lease_time));
  request.set("Time-Left-Ms", Milliseconds(task.time_left));
  this->renewals.emplace(
      task.task, std::make_unique<boost::asio::steady_timer>(this->context));
  this->RenewLater(task.task);
  const auto began = std::chrono::steady_clock::now();
  this->tasks->Send(
      std::move(request), task.time_left + kAnswerGrace,
      [this, id = task.task, began](const HttpResult& result) {
        this->renewals.erase(id);
        const auto elapsed = std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now() - began);
        this->ended({id, ResultOf(result),
                     Payload::FromBytes(result.response.body()), elapsed});
      });
}

void UpstreamClient::Stop(const TaskId& task) {
  this->control->Send(MakeHttpRequest(http::verb::delete_, TaskPath(task), ""),
                      kControlTimeout, [](const HttpResult&) {});
}

void UpstreamClient::RenewLater(const TaskId& task) {
  const auto found = this->renewals.find(task);
  if (found == this->renewals.end()) return;
  found->second->expires_after(this->lease_time / 2);
  found->second->async_wait([this, task](boost::system::error_code error) {
    if (error) return;
    HttpRequest request =
        MakeHttpRequest(http::verb::post, TaskPath(task) + "/lease", "");
    request.set("Lease-Ms", Milliseconds(this->lease_time));
    this->control->Send(std::move(request), kControlTimeout,
                        [](const HttpResult&) {});
    this->RenewLater(task);
  });
}

}  // namespace dandelionspur
