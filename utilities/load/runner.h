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
  std::vector<std::uint16_t> entry_ports;
  std::string service;
  Duration deadline{};
};

// What became of one submission.
struct JobOutcome {
  // Index of the planned job.
  std::size_t job = 0;
  bool is_resubmission = false;
  // 0 where no answer came.
  unsigned status = 0;
  std::string verdict;
  std::string reason;
  Duration response{};
  // A complete answer has exactly the results of its own tasks.
  bool answer_correct = false;
};

// Submits jobs at their planned times, whether or not earlier ones have been
// answered, and waits for all answers. Runs on the caller's thread.
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
  std::chrono::steady_clock::time_point began;
  std::size_t next = 0;
  std::vector<JobOutcome> outcomes;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_LOAD_RUNNER_H_
