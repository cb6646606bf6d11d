#ifndef DANDELIONSPUR_UTILITIES_LOAD_SUMMARY_H_
#define DANDELIONSPUR_UTILITIES_LOAD_SUMMARY_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "utilities/load/runner.h"

namespace dandelionspur {

// What a run showed, as one JSON object.
nlohmann::json Summarize(const std::vector<PlannedJob>& jobs,
                         const std::vector<FleetPart>& fleet,
                         const std::vector<JobOutcome>& outcomes);
// The same as a table for a person.
std::string FormatTable(const nlohmann::json& summary);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_LOAD_SUMMARY_H_
