#include "utilities/upstream_stand_in/stand_in_upstream.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/protocol/http_status.h"
#include "services/runtime/admin_routes.h"
#include "utilities/upstream_stand_in/crash.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kAnnounceInterval{500};
constexpr std::chrono::seconds kUsageSampleInterval{1};
constexpr std::int64_t kDefaultSleepMilliseconds = 50;

std::int64_t HeaderNumber(const HttpRequest& request, const char* name) {
  const auto found = request.find(name);
  if (found == request.end()) return 0;
  const std::string text(found->value().data(), found->value().size());
  return std::strtoll(text.c_str(), nullptr, 10);
}

}  // namespace

StandInUpstream::StandInUpstream(const UpstreamOptions& configured,
                                 boost::asio::io_context& thread)
    : options(configured),
      context(thread),
      agent(
          HttpClient::Create(thread, {"127.0.0.1", configured.agent_port}, 1)),
      announce_timer(thread),
      usage_timer(thread) {
  this->SampleUsage();
}

void StandInUpstream::Announce() {
  const nlohmann::json announcement = {{"service", this->options.service},
                                       {"address", "127.0.0.1"},
                                       {"port", this->options.port},
                                       {"slots", this->options.slots},
                                       {"rack", this->options.rack}};
  this->agent->Send(
      MakeHttpRequest(http::verb::put, "/v1/upstream", announcement.dump()),
      kAnnounceTimeout, [this](const HttpResult&) {
        this->announce_timer.expires_after(kAnnounceInterval);
        this->announce_timer.async_wait([this](boost::system::error_code e) {
          if (!e) this->Announce();
        });
      });
}

void StandInUpstream::Handle(const HttpRequest& request,
                             const HttpResponder& responder) {
  const std::vector<std::string> parts =
      PathParts({request.target().data(), request.target().size()});
  const std::string path = parts.empty() ? "" : parts.back();
  const bool is_task = parts.size() >= 3 && parts[1] == "tasks";
  if (is_task && parts.size() == 3 && request.method() == http::verb::post) {
    this->StartTask(parts[2], request, responder);
  } else if (is_task && request.method() == http::verb::delete_) {
    this->EndTask(parts[2], http_status::kServiceUnavailable, "stopped");
    responder(JsonResponse(http_status::kOk, {{"stopped", parts[2]}}));
  } else if (is_task && path == "lease") {
    this->ArmLease(parts[2], request);
    responder(JsonResponse(http_status::kOk, {{"renewed", parts[2]}}));
  } else if (is_task && path == "checkpoint") {
    ++this->checkpoints;
    responder(
        JsonResponse(http_status::kOk, {{"checkpoints", this->checkpoints}}));
  } else if (path == "starts") {
    nlohmann::json list = nlohmann::json::array();
    for (const LoggedStart& start : this->starts) {
      list.push_back({{"task", start.task}, {"at_us", start.at_microseconds}});
    }
    responder(JsonResponse(http_status::kOk, {{"starts", list}}));
  } else if (path == "usage") {
    responder(
        JsonResponse(http_status::kOk, {{"running", this->reported_usage}}));
  } else if (path == "faults") {
    this->SetFaults(request.body());
    responder(JsonResponse(http_status::kOk, {{"faults", "set"}}));
  } else {
    responder(ProblemResponse(http_status::kNotFound, "no such path"));
  }
}

void StandInUpstream::StartTask(const std::string& id,
                                const HttpRequest& request,
                                const HttpResponder& responder) {
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  this->starts.push_back({id, now.count()});
  const nlohmann::json body =
      nlohmann::json::parse(request.body(), nullptr, false);
  std::int64_t sleep = kDefaultSleepMilliseconds;
  RunningTask& task =
      this->running.insert_or_assign(id, RunningTask(responder)).first->second;
  if (body.is_object()) {
    sleep = body.value("sleep_ms", sleep);
    task.token = body.value("token", "");
    task.fails = body.value("outcome", "ok") == "fail";
    task.crashes = body.value("outcome", "ok") == "crash";
  }
  if (this->mode == Mode::kFailEverything) {
    this->EndTask(id, http_status::kInternalServerError, "failed by request");
    return;
  }
  this->ArmLease(id, request);
  if (this->mode == Mode::kHang) return;
  constexpr double kMicrosecondsPerMillisecond = 1000;
  const std::chrono::microseconds time(static_cast<std::int64_t>(
      static_cast<double>(sleep) * this->options.slowness *
      kMicrosecondsPerMillisecond));
  task.completion =
      std::make_unique<boost::asio::steady_timer>(this->context, time);
  task.completion->async_wait([this, id](boost::system::error_code error) {
    if (error) return;
    const RunningTask& done = this->running.at(id);
    if (done.crashes) Crash();
    const nlohmann::json result = {{"task", id}, {"token", done.token}};
    this->EndTask(
        id, done.fails ? http_status::kInternalServerError : http_status::kOk,
        result.dump());
  });
}

void StandInUpstream::ArmLease(const std::string& id,
                               const HttpRequest& request) {
  const auto found = this->running.find(id);
  const std::int64_t lease = HeaderNumber(request, "Lease-Ms");
  if (found == this->running.end() || lease <= 0) return;
  found->second.lease = std::make_unique<boost::asio::steady_timer>(
      this->context, std::chrono::milliseconds(lease));
  found->second.lease->async_wait([this, id](boost::system::error_code error) {
    if (!error) {
      this->EndTask(id, http_status::kServiceUnavailable,
                    "the lease has lapsed");
    }
  });
}

void StandInUpstream::EndTask(const std::string& id, unsigned status,
                              const std::string& body) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  found->second.responder(MakeHttpResponse(status, "application/json", body));
  this->running.erase(found);
}

void StandInUpstream::SetFaults(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return;
  const std::string requested = json.value("mode", "ok");
  this->mode = Mode::kNormal;
  if (requested == "fail") this->mode = Mode::kFailEverything;
  if (requested == "hang") this->mode = Mode::kHang;
  this->options.slowness = json.value("slowness", this->options.slowness);
}

void StandInUpstream::SampleUsage() {
  this->usage_timer.expires_after(kUsageSampleInterval);
  this->usage_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    this->reported_usage = this->running.size();
    this->SampleUsage();
  });
}

}  // namespace dandelionspur
