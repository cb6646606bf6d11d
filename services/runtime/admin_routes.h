#ifndef DANDELIONSPUR_SERVICES_RUNTIME_ADMIN_ROUTES_H_
#define DANDELIONSPUR_SERVICES_RUNTIME_ADMIN_ROUTES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/network/http_server.h"
#include "libraries/recording/recorder.h"
#include "libraries/telemetry/metrics.h"

namespace dandelionspur {

// Returns the non-empty segments of a request's path, without the query.
std::vector<std::string> PathParts(std::string_view target);
// Returns the value of a query parameter, or an empty string if it is missing.
std::string QueryValue(std::string_view target, std::string_view name);

HttpResponse JsonResponse(unsigned status, const nlohmann::json& body);
HttpResponse ProblemResponse(unsigned status, const std::string& detail);
HttpResponse MetricsResponse(const Metrics& metrics);
// Encodes the segments one after another, each preceded by its length in bytes
// (8 bytes, big-endian).
HttpResponse SegmentsResponse(const std::vector<FinishedSegment>& segments);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_ADMIN_ROUTES_H_
