#ifndef DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_PLATFORM_WORKER_H_
#define DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_PLATFORM_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libraries/network/http_client.h"

namespace dandelionspur {

struct WorkerOptions {
  std::uint16_t port = 0;
  // Port on which the worker's agent accepts announcements.
  std::uint16_t agent_port = 0;
  std::string id;
  std::string service;
  std::uint64_t millicores = 0;
  std::uint32_t heartbeat_milliseconds = 200;
  std::uint32_t maximum_lease_milliseconds = 1000;
};

// A stand-in for a worker of the users' platform. The worker sends heartbeats
// to its agent, runs all tasks under one lease on its own clock, and lists its
// running and completed runs. A task's `spec` is "MILLISECONDS",
// "MILLISECONDS fail" or "MILLISECONDS crash"; the last one ends the process
// without notice. Must be used from one thread.
//
//   POST /-/run-start, /-/run-stop, /-/hold
//   GET  /v1/runs    {"runs": [{"task", "run", "from_us", "to_us", "how"}]}
//   PUT  /faults     {"late_orders": n, "late_ms", "lose_answers": n,
//                     "fail": bool, "hang": bool, "leaving": bool}
class PlatformWorker {
 public:
  PlatformWorker(const WorkerOptions& configured,
                 boost::asio::io_context& thread);
  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  // Sends a heartbeat to the agent now and periodically afterwards.
  void Announce();
  void Handle(const HttpRequest& request, const HttpResponder& responder);

 private:
  struct Run {
    std::string task;
    std::uint64_t number = 0;
    std::int64_t from_microseconds = 0;
    std::unique_ptr<boost::asio::steady_timer> completion;
  };
  // Tests compare results with this log, which holds every run.
  struct LoggedRun {
    std::string task;
    std::uint64_t number = 0;
    std::int64_t from_microseconds = 0;
    std::int64_t to_microseconds = 0;
    std::string outcome;
  };
  struct Completion {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
  };
  struct PendingList {
    PendingList(HttpResponder answer, boost::asio::io_context& thread)
        : responder(std::move(answer)), timer(thread) {}

    HttpResponder responder;
    boost::asio::steady_timer timer;
  };

  void Order(const HttpRequest& request, const HttpResponder& responder);
  // Executes a start or stop order. Returns the answer.
  HttpResponse ExecuteOrder(bool start, const nlohmann::json& order);
  HttpResponse StartRun(const nlohmann::json& order);
  void List(const nlohmann::json& order, const HttpResponder& responder);
  [[nodiscard]] HttpResponse ListAnswer() const;
  void AnswerLists();
  void ExtendLease(const nlohmann::json& order);
  void ArmLeaseTimer();
  // `task` must not refer to a member of the run, which this call destroys.
  void EndRun(const std::string& task, const std::string& outcome);
  [[nodiscard]] std::int64_t ClockMilliseconds() const;
  [[nodiscard]] HttpResponse Refuse(const char* reason) const;
  [[nodiscard]] HttpResponse Runs() const;
  void SetFaults(const std::string& body);

  WorkerOptions options;
  boost::asio::io_context& context;
  std::shared_ptr<HttpClient> agent;
  boost::asio::steady_timer announce_timer;
  boost::asio::steady_timer lease_timer;
  std::chrono::steady_clock::time_point steady_start;
  std::int64_t started_milliseconds = 0;
  std::uint64_t sequence = 0;
  std::uint64_t highest_token = 0;
  std::int64_t lease_until = 0;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint64_t> highest_runs;
  std::deque<Completion> completions;
  std::uint64_t last_completion = 0;
  // By the number of the list request.
  std::map<std::uint64_t, PendingList> pending_lists;
  std::uint64_t last_list = 0;
  std::vector<LoggedRun> log;
  std::uint32_t late_orders = 0;
  std::uint32_t late_milliseconds = 0;
  std::uint32_t lose_answers = 0;
  bool fails = false;
  bool hangs = false;
  bool leaving = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_UPSTREAM_STAND_IN_PLATFORM_WORKER_H_
