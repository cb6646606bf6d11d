#include "utilities/load/runner.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kConnectionsPerEntry = 4000;
constexpr Duration kResponseMargin = std::chrono::seconds(10);

std::string TaskToken(const PlannedJob& job, std::size_t task) {
  return job.key + "/" + std::to_string(task);
}

bool ResultsMatch(const nlohmann::json& answer, const PlannedJob& job) {
  const auto results = answer.find("results");
  if (results == answer.end() || results->size() != job.tasks.size()) {
    return false;
  }
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const nlohmann::json result = nlohmann::json::parse(
        results->at(i).get<std::string>(), nullptr, false);
    if (!result.is_object() || result.value("token", "") != TaskToken(job, i)) {
      return false;
    }
  }
  return true;
}

}  // namespace

Runner::Runner(const RunnerOptions& configured,
               const std::vector<PlannedJob>& plan)
    : options(configured), jobs(plan), timer(this->context) {
  for (const std::uint16_t port : this->options.entry_ports) {
    this->entries.push_back(HttpClient::Create(
        this->context, {"127.0.0.1", port}, kConnectionsPerEntry));
  }
}

std::vector<JobOutcome> Runner::Run() {
  this->started_at = std::chrono::steady_clock::now();
  this->ScheduleNext();
  this->context.run();
  return this->outcomes;
}

void Runner::ScheduleNext() {
  if (this->next_job >= this->jobs.size()) return;
  this->timer.expires_at(this->started_at + this->jobs[this->next_job].arrival);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const std::size_t job = this->next_job;
    ++this->next_job;
    const std::size_t entry = job % this->entries.size();
    this->Submit(job, entry, false);
    if (this->jobs[job].resubmitted) {
      this->Submit(job, (entry + 1) % this->entries.size(), true);
    }
    this->ScheduleNext();
  });
}

void Runner::Submit(std::size_t job, std::size_t entry, bool is_resubmission) {
  HttpRequest request = MakeHttpRequest(
      http::verb::post, "/v1/services/" + this->options.service + "/jobs",
      this->RequestBody(job));
  request.set("Idempotency-Key", this->jobs[job].key);
  const auto sent = std::chrono::steady_clock::now();
  this->entries[entry]->Send(
      std::move(request), this->options.deadline + kResponseMargin,
      [this, job, is_resubmission, sent](const HttpResult& result) {
        JobOutcome outcome;
        outcome.job = job;
        outcome.is_resubmission = is_resubmission;
        outcome.response = std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now() - sent);
        if (result.progress == HttpProgress::kAnswered) {
          outcome.status = result.response.result_int();
          const nlohmann::json answer =
              nlohmann::json::parse(result.response.body(), nullptr, false);
          if (answer.is_object()) {
            outcome.verdict = answer.value("verdict", "");
            outcome.reason = answer.value("reason", "");
            outcome.answer_correct = ResultsMatch(answer, this->jobs[job]);
          }
        }
        this->outcomes.push_back(std::move(outcome));
      });
}

std::string Runner::RequestBody(std::size_t job) const {
  const PlannedJob& planned = this->jobs[job];
  nlohmann::json tasks = nlohmann::json::array();
  for (std::size_t i = 0; i < planned.tasks.size(); ++i) {
    const PlannedTask& task = planned.tasks[i];
    const auto milliseconds = [](Duration duration) {
      return std::max<std::int64_t>(
          1, std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count());
    };
    tasks.push_back({{"body",
                      {{"sleep_ms", milliseconds(task.duration)},
                       {"outcome", task.crashes ? "crash" : "ok"},
                       {"token", TaskToken(planned, i)}}},
                     {"declared_ms", milliseconds(task.declared)}});
  }
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->options.deadline);
  return nlohmann::json{{"tasks", tasks}, {"deadline_ms", deadline.count()}}
      .dump();
}

}  // namespace dandelionspur
