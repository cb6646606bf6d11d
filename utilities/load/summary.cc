#include "utilities/load/summary.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace dandelionspur {
namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
constexpr double kMicrosecondsPerMillisecond = 1000;

// The nearest-rank percentile of `values` for a rank in [0, 1]; 0 if empty.
double Percentile(std::vector<double> values, double rank) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double position =
      std::ceil(rank * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::max(0.0, position))];
}

double Ratio(Duration response, Duration ideal) {
  return static_cast<double>(response.count()) /
         static_cast<double>(std::max<std::int64_t>(1, ideal.count()));
}

}  // namespace

nlohmann::json Summarize(const std::vector<PlannedJob>& jobs,
                         const std::vector<UpstreamGroup>& fleet,
                         const std::vector<JobOutcome>& outcomes) {
  const std::vector<Duration> loaded_ideals =
      LoadedFleetIdealResponses(jobs, fleet);
  std::vector<double> ratios;
  std::vector<double> loaded_ratios;
  std::vector<double> responses;
  std::map<std::string, std::size_t> reasons;
  std::size_t complete = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::size_t wrong_answers = 0;
  std::size_t unanswered = 0;
  std::size_t complete_tasks = 0;
  std::size_t resubmissions = 0;
  for (const JobOutcome& outcome : outcomes) {
    ++reasons[outcome.reason.empty() ? "no_answer" : outcome.reason];
    if (outcome.is_resubmission) ++resubmissions;
    if (outcome.status == 0) ++unanswered;
    const bool is_complete = outcome.reason == "complete";
    if (is_complete && !outcome.answer_correct) ++wrong_answers;
    if (outcome.is_resubmission) continue;
    if (is_complete) {
      ++complete;
      complete_tasks += jobs[outcome.job].tasks.size();
      responses.push_back(static_cast<double>(outcome.response.count()) /
                          kMicrosecondsPerMillisecond);
      ratios.push_back(Ratio(outcome.response,
                             IdleFleetIdealResponse(jobs[outcome.job], fleet)));
      loaded_ratios.push_back(
          Ratio(outcome.response, loaded_ideals[outcome.job]));
    } else if (outcome.verdict == "not_run") {
      ++refused;
    } else {
      ++failed;
    }
  }
  std::size_t tasks = 0;
  for (const PlannedJob& job : jobs) tasks += job.tasks.size();
  return {{"jobs", jobs.size()},
          {"tasks", tasks},
          {"complete", complete},
          {"complete_tasks", complete_tasks},
          {"failed", failed},
          {"refused", refused},
          {"unanswered", unanswered},
          {"wrong_answers", wrong_answers},
          {"resubmissions", resubmissions},
          {"response_ms_p50", Percentile(responses, kMedian)},
          {"response_ms_p99", Percentile(responses, kTail)},
          {"response_ratio_p50", Percentile(ratios, kMedian)},
          {"response_ratio_p99", Percentile(ratios, kTail)},
          {"loaded_ratio_p50", Percentile(loaded_ratios, kMedian)},
          {"loaded_ratio_p99", Percentile(loaded_ratios, kTail)},
          {"reasons", reasons}};
}

std::string FormatTable(const nlohmann::json& summary) {
  std::string table;
  for (const auto& [name, value] : summary.items()) {
    constexpr std::size_t kLineSize = 256;
    char line[kLineSize];
    const std::string text = value.is_number_float()
                                 ? std::to_string(value.get<double>())
                                 : value.dump();
    std::snprintf(line, sizeof(line), "%-22s %s\n", name.c_str(), text.c_str());
    table += line;
  }
  return table;
}

}  // namespace dandelionspur
