#ifndef DANDELIONSPUR_UTILITIES_LOAD_RUNNER_H_
#define DANDELIONSPUR_UTILITIES_LOAD_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/network/http_client.h"
#include "utilities/load/workload.h"

namespace dandelionspur {

struct RunnerOptions {
  // Loopback ports for callers, one for each entry.
  std::vector<std::uint16_t> entry_ports;
  std::string service;
  // Time allowed for each job.
  Duration deadline{};
};

// The result of one submission.
struct JobOutcome {
  // Index of the job in the plan.
  std::size_t job = 0;
  bool is_resubmission = false;
  // HTTP status; 0 if the request was not answered.
  unsigned status = 0;
  std::string verdict;
  std::string reason;
  // Time from sending the request to its answer or failure.
  Duration response{};
  // Whether the answer holds one result for each task of the job, in order, and
  // each result names its task.
  bool answer_correct = false;
};

// An open-loop load generator: submits each job at its planned time, without
// waiting for earlier answers. Run() blocks until every submission has been
// answered or has failed.
class Runner {
 public:
  Runner(const RunnerOptions& configured, const std::vector<PlannedJob>& plan);
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  std::vector<JobOutcome> Run();

 private:
  void ScheduleNext();
  void Submit(std::size_t job, std::size_t entry, bool is_resubmission);
  [[nodiscard]] std::string RequestBody(std::size_t job) const;

  RunnerOptions options;
  const std::vector<PlannedJob>& jobs;
  boost::asio::io_context context{1};
  boost::asio::steady_timer timer;
  std::vector<std::shared_ptr<HttpClient>> entries;
  std::chrono::steady_clock::time_point started_at;
  std::size_t next_job = 0;
  std::vector<JobOutcome> outcomes;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_LOAD_RUNNER_H_
