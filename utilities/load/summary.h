#ifndef DANDELIONSPUR_UTILITIES_LOAD_SUMMARY_H_
#define DANDELIONSPUR_UTILITIES_LOAD_SUMMARY_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "utilities/load/runner.h"

namespace dandelionspur {

// Counts, response times and ratios of response time to ideal response time of
// one run, as a JSON object.
nlohmann::json Summarize(const std::vector<PlannedJob>& jobs,
                         const std::vector<UpstreamGroup>& fleet,
                         const std::vector<JobOutcome>& outcomes);
// Formats the summary as a text table.
std::string FormatTable(const nlohmann::json& summary);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_LOAD_SUMMARY_H_
