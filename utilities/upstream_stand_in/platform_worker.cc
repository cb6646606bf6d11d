#include "utilities/upstream_stand_in/platform_worker.h"

#include <chrono>
#include <cstdlib>
#include <utility>

#include "libraries/base/time.h"
#include "libraries/protocol/http_status.h"
#include "services/runtime/admin_routes.h"
#include "utilities/upstream_stand_in/crash.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(500);

std::int64_t WallMicroseconds() {
  return WallClockNow().time_since_epoch().count();
}

}  // namespace

PlatformWorker::PlatformWorker(const WorkerOptions& configured,
                               boost::asio::io_context& thread)
    : options(configured),
      context(thread),
      agent(
          HttpClient::Create(thread, {"127.0.0.1", configured.agent_port}, 1)),
      announce_timer(thread),
      lease_timer(thread),
      steady_start(std::chrono::steady_clock::now()),
      started_milliseconds(WallMicroseconds() / 1000) {}

std::int64_t PlatformWorker::ClockMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->steady_start)
      .count();
}

void PlatformWorker::Announce() {
  const json heartbeat = {
      {"service", this->options.service},
      {"address", "127.0.0.1:" + std::to_string(this->options.port)},
      {"zone", "loopback-1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", this->leaving ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"capacity",
       {{"cpu", this->options.millicores}, {"mem_mb", 65536}, {"gpu", 0}}},
      {"labels", {"a", "r1"}},
      {"clock_ms", this->ClockMilliseconds()},
      {"born", this->started_milliseconds},
      {"seq", ++this->sequence}};
  this->agent->Send(
      MakeJsonRequest("/-/Instances.Heartbeat/" + this->options.id, heartbeat),
      kAnnounceTimeout, [this](const HttpResult&) {
        this->announce_timer.expires_after(
            std::chrono::milliseconds(this->options.heartbeat_milliseconds));
        this->announce_timer.async_wait([this](boost::system::error_code e) {
          if (!e) this->Announce();
        });
      });
}

void PlatformWorker::Handle(const HttpRequest& request,
                            const HttpResponder& responder) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (target == "/v1/runs") {
    responder(this->Runs());
  } else if (target == "/faults") {
    this->SetFaults(request.body());
    responder(JsonResponse(http_status::kOk, {{"faults", "set"}}));
  } else if (target.starts_with("/-/")) {
    this->Order(request, responder);
  } else {
    responder(ProblemResponse(http_status::kNotFound, "no such path"));
  }
}

void PlatformWorker::Order(const HttpRequest& request,
                           const HttpResponder& responder) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const json order = json::parse(request.body(), nullptr, false);
  if (!order.is_object()) {
    responder(ProblemResponse(http_status::kBadRequest, "not an object"));
    return;
  }
  if (request["X-Expect-Instance"] != this->options.id) {
    responder(JsonResponse(http_status::kMisdirectedRequest, {}));
    return;
  }
  if (target == "/-/hold") {
    this->List(order, responder);
    return;
  }
  const bool start = target == "/-/run-start";
  if (this->late_orders > 0) {
    --this->late_orders;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        this->context, std::chrono::milliseconds(this->late_milliseconds));
    timer->async_wait(
        [this, timer, start, order](boost::system::error_code error) {
          if (!error) this->ExecuteOrder(start, order);
        });
    return;
  }
  HttpResponse answer = this->ExecuteOrder(start, order);
  if (this->lose_answers > 0) {
    --this->lose_answers;
    return;
  }
  responder(std::move(answer));
}

HttpResponse PlatformWorker::ExecuteOrder(bool start, const json& order) {
  const auto token = order.value("fence", std::uint64_t{0});
  if (token < this->highest_token) return this->Refuse("fence");
  this->highest_token = token;
  if (start) return this->StartRun(order);
  const std::string task = order.value("task", "");
  const auto run = order.value("run", std::uint64_t{0});
  std::uint64_t& highest = this->highest_runs[task];
  highest = std::max(highest, run);
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.number <= run) {
    this->EndRun(task, "stopped");
  }
  return JsonResponse(http_status::kOk,
                      {{"clock_ms", this->ClockMilliseconds()}});
}

HttpResponse PlatformWorker::StartRun(const json& order) {
  const std::string task = order.value("task", "");
  const auto number = order.value("run", std::uint64_t{0});
  const json accepted = {{"clock_ms", this->ClockMilliseconds()}};
  const auto current = this->running.find(task);
  if (current != this->running.end() && current->second.number == number) {
    return JsonResponse(http_status::kOk, accepted);
  }
  const auto highest = this->highest_runs.find(task);
  if (highest != this->highest_runs.end() && number <= highest->second) {
    return this->Refuse("old");
  }
  if (order.value("deadline_ms", std::int64_t{0}) <=
      this->ClockMilliseconds()) {
    return this->Refuse("late");
  }
  this->ExtendLease(order);
  this->highest_runs[task] = number;
  const std::string spec = order.value("spec", "");
  Run& run = this->running[task];
  run.task = task;
  run.number = number;
  run.from_microseconds = WallMicroseconds();
  if (this->hangs) return JsonResponse(http_status::kOk, accepted);
  const bool fail = this->fails || spec.ends_with("fail");
  const bool crash = spec.ends_with("crash");
  run.completion = std::make_unique<boost::asio::steady_timer>(
      this->context,
      std::chrono::milliseconds(std::strtoll(spec.c_str(), nullptr, 10)));
  run.completion->async_wait(
      [this, task, fail, crash](boost::system::error_code error) {
        if (error) return;
        if (crash) Crash();
        this->EndRun(task, fail ? "failed" : "done");
      });
  return JsonResponse(http_status::kOk, accepted);
}

void PlatformWorker::List(const json& order, const HttpResponder& responder) {
  const auto token = order.value("fence", std::uint64_t{0});
  if (token < this->highest_token) {
    responder(this->Refuse("fence"));
    return;
  }
  this->highest_token = token;
  const auto acknowledged = order.value("last_seen", std::uint64_t{0});
  while (!this->completions.empty() &&
         this->completions.front().number <= acknowledged) {
    this->completions.pop_front();
  }
  this->ExtendLease(order);
  const auto wait = order.value("wait_ms", std::int64_t{0});
  if (!this->completions.empty() || wait == 0) {
    responder(this->ListAnswer());
    return;
  }
  const std::uint64_t number = ++this->last_list;
  PendingList& pending =
      this->pending_lists.try_emplace(number, responder, this->context)
          .first->second;
  pending.timer.expires_after(std::chrono::milliseconds(wait));
  // Cancelling the timer does not stop a handler that is due already. Hence the
  // search: AnswerLists may have answered the list in the meantime.
  pending.timer.async_wait([this, number](boost::system::error_code error) {
    if (error) return;
    const auto found = this->pending_lists.find(number);
    if (found == this->pending_lists.end()) return;
    found->second.responder(this->ListAnswer());
    this->pending_lists.erase(found);
  });
}

HttpResponse PlatformWorker::ListAnswer() const {
  json runs = json::array();
  for (const auto& [task, run] : this->running) {
    runs.push_back({task, run.number, "", 0, 0});
  }
  json finished = json::array();
  for (const Completion& completion : this->completions) {
    finished.push_back({completion.number, completion.task, completion.run,
                        completion.outcome, ""});
  }
  return JsonResponse(http_status::kOk,
                      {{"clock_ms", this->ClockMilliseconds()},
                       {"born", this->started_milliseconds},
                       {"running", runs},
                       {"finished", finished}});
}

void PlatformWorker::AnswerLists() {
  for (auto& [number, pending] : this->pending_lists) {
    pending.timer.cancel();
    pending.responder(this->ListAnswer());
  }
  this->pending_lists.clear();
}

void PlatformWorker::ExtendLease(const json& order) {
  const std::int64_t latest =
      this->ClockMilliseconds() + this->options.maximum_lease_milliseconds;
  const std::int64_t granted =
      std::min(order.value("deadline_ms", std::int64_t{0}), latest);
  if (granted <= this->lease_until) return;
  this->lease_until = granted;
  this->ArmLeaseTimer();
}

void PlatformWorker::ArmLeaseTimer() {
  this->lease_timer.expires_after(
      std::chrono::milliseconds(std::max<std::int64_t>(
          0, this->lease_until - this->ClockMilliseconds())));
  this->lease_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    while (!this->running.empty()) {
      const std::string task = this->running.begin()->first;
      this->EndRun(task, "lapsed");
    }
  });
}

void PlatformWorker::EndRun(const std::string& task,
                            const std::string& outcome) {
  const auto found = this->running.find(task);
  if (found == this->running.end()) return;
  const Run run = std::move(found->second);
  this->running.erase(found);
  this->completions.push_back(
      {++this->last_completion, task, run.number, outcome});
  this->log.push_back(
      {task, run.number, run.from_microseconds, WallMicroseconds(), outcome});
  this->AnswerLists();
}

HttpResponse PlatformWorker::Refuse(const char* reason) const {
  return JsonResponse(
      http_status::kConflict,
      {{"clock_ms", this->ClockMilliseconds()}, {"reason", reason}});
}

HttpResponse PlatformWorker::Runs() const {
  json runs = json::array();
  const auto add = [&](const LoggedRun& run) {
    runs.push_back({{"task", run.task},
                    {"run", run.number},
                    {"from_us", run.from_microseconds},
                    {"to_us", run.to_microseconds},
                    {"how", run.outcome}});
  };
  for (const LoggedRun& run : this->log) add(run);
  for (const auto& [task, run] : this->running) {
    add({task, run.number, run.from_microseconds, WallMicroseconds(),
         "running"});
  }
  return JsonResponse(http_status::kOk, {{"runs", runs}});
}

void PlatformWorker::SetFaults(const std::string& body) {
  const json wire = json::parse(body, nullptr, false);
  if (!wire.is_object()) return;
  this->late_orders = wire.value("late_orders", 0U);
  this->late_milliseconds = wire.value("late_ms", 0U);
  this->lose_answers = wire.value("lose_answers", 0U);
  this->fails = wire.value("fail", false);
  this->hangs = wire.value("hang", false);
  this->leaving = wire.value("leaving", false);
}

}  // namespace dandelionspur
