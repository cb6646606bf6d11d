#include "services/runtime/admin_routes.h"

#include <boost/endian/conversion.hpp>

#include "libraries/protocol/parse_json.h"

namespace dandelionspur {

std::vector<std::string> PathParts(std::string_view target) {
  std::vector<std::string> parts;
  target = target.substr(0, target.find('?'));
  while (!target.empty()) {
    const std::size_t slash = target.find('/');
    const std::string_view part = target.substr(0, slash);
    if (!part.empty()) parts.emplace_back(part);
    if (slash == std::string_view::npos) break;
    target.remove_prefix(slash + 1);
  }
  return parts;
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return {};
  std::string_view query = target.substr(question + 1);
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

HttpResponse JsonResponse(unsigned status, const nlohmann::json& body) {
  return MakeHttpResponse(status, "application/json", DumpForDisplay(body));
}

HttpResponse ProblemResponse(unsigned status, const std::string& detail) {
  const nlohmann::json body = {{"status", status}, {"detail", detail}};
  return MakeHttpResponse(status, "application/problem+json",
                          DumpForDisplay(body));
}

HttpResponse MetricsResponse(const Metrics& metrics) {
  constexpr unsigned kOk = 200;
  return MakeHttpResponse(kOk, "text/plain; version=0.0.4",
                          metrics.SerializeToText());
}

HttpResponse SegmentsResponse(const std::vector<FinishedSegment>& segments) {
  constexpr unsigned kOk = 200;
  std::string body;
  for (const FinishedSegment& segment : segments) {
    std::uint8_t length[sizeof(std::uint64_t)];
    boost::endian::store_big_u64(length, segment.bytes.size());
    body.append(std::begin(length), std::end(length));
    body.append(segment.bytes);
  }
  return MakeHttpResponse(kOk, "application/octet-stream", std::move(body));
}

}  // namespace dandelionspur
