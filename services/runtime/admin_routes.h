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

// The parts of a request's path, without the query.
std::vector<std::string> PathParts(std::string_view target);
// The value of a query parameter; empty where it is missing.
std::string QueryValue(std::string_view target, std::string_view name);

HttpResponse JsonResponse(unsigned status, const nlohmann::json& body);
HttpResponse ProblemResponse(unsigned status, const std::string& detail);
HttpResponse MetricsResponse(const Metrics& metrics);
// Segments one after another, each behind its length (8 bytes, big-endian).
HttpResponse SegmentsResponse(const std::vector<FinishedSegment>& segments);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_RUNTIME_ADMIN_ROUTES_H_
