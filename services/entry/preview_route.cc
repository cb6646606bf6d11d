#include "services/entry/preview_route.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "libraries/base/enum_name.h"
#include "libraries/protocol/endpoint.h"
#include "libraries/protocol/http_status.h"
#include "libraries/protocol/parse_json.h"
#include "services/runtime/admin_routes.h"

namespace dandelionspur {
namespace {

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// The caller's request within the body of the operator's one.
Result<HttpRequest> CallersRequest(const std::string& body) {
  BOOST_LEAF_AUTO(wire, ParseMessage(body, "request"));
  const bool is_request =
      wire.is_object() && wire.contains("target") && wire["target"].is_string();
  if (!is_request) return Fail("the body must be an object with a target");
  HttpRequest request(boost::beast::http::verb::post,
                      wire["target"].get<std::string>(), 11);
  const nlohmann::json headers =
      wire.value("headers", nlohmann::json::object());
  for (const auto& [name, value] : headers.items()) {
    if (value.is_string()) request.set(name, value.get<std::string>());
  }
  const auto content = wire.find("body");
  if (content != wire.end() && content->is_string()) {
    request.body() = content->get<std::string>();
  }
  return request;
}

}  // namespace

void PreviewRoute::Handle(const HttpRequest& request,
                          const HttpResponder& responder) {
  const std::optional<HttpRequest> callers = OrElse(
      [&]() -> Result<std::optional<HttpRequest>> {
        BOOST_LEAF_AUTO(found, CallersRequest(request.body()));
        return std::optional<HttpRequest>(std::move(found));
      },
      [&](const std::string& problem) {
        responder(ProblemResponse(http_status::kBadRequest, problem));
        return std::optional<HttpRequest>();
      });
  if (!callers) return;
  const std::optional<SubmissionCall> call =
      this->serving.Read([&](const ServingState& state) {
        return ReadSubmissionCall(*callers, state, this->bodies);
      });
  if (!call) {
    responder(JsonResponse(http_status::kOk, {{"outlook", "no_such_path"}}));
    return;
  }
  if (const auto* rejected =
          std::get_if<RejectedSubmission>(&call->submission)) {
    responder(JsonResponse(http_status::kOk,
                           {{"outlook", "refused"},
                            {"service", call->service.value()},
                            {"reason", ReasonName(rejected->answer.reason)},
                            {"detail", rejected->detail},
                            {"retry_after_ms", 0}}));
    return;
  }
  boost::asio::post(this->context, [this, responder, call = *call] {
    responder(JsonResponse(http_status::kOk, this->Describe(call)));
  });
}

nlohmann::json PreviewRoute::Describe(const SubmissionCall& call) {
  const auto& job = std::get<JobSubmission>(call.submission);
  const JobPreview preview = this->core.Preview(job, WallClockNow());
  nlohmann::json answer = {{"outlook", EnumName(preview.outlook)},
                           {"service", call.service.value()},
                           {"tasks", job.tasks.size()},
                           {"queued_tasks", preview.queued_tasks}};
  if (call.route) {
    answer["route"] = call.route->host + call.route->path_prefix;
  }
  const auto document = this->core.documents().find(call.service);
  if (document != this->core.documents().end()) {
    answer["document_version"] = document->second.version.value();
  }
  if (preview.home) this->DescribeHome(answer, *preview.home);
  if (preview.outlook == JobOutlook::kRefused) {
    answer["reason"] = ReasonName(preview.refusal);
    answer["retry_after_ms"] = Milliseconds(preview.retry_after);
  } else {
    answer["expected_start_ms"] = Milliseconds(preview.expected_start);
    answer["expected_end_ms"] = Milliseconds(preview.expected_end);
  }
  answer["placement"] = EnumName(preview.placement.reason);
  answer["scope"] = EnumName(preview.placement.scope);
  nlohmann::json candidates = nlohmann::json::array();
  Duration oldest{};
  for (const CandidatePreview& candidate : preview.placement.candidates) {
    candidates.push_back(this->DescribeCandidate(candidate));
    const bool is_lost = candidate.verdict == CandidateVerdict::kLost;
    if (!is_lost) oldest = std::max(oldest, candidate.report_age);
  }
  answer["candidates"] = std::move(candidates);
  answer["oldest_report_ms"] = Milliseconds(oldest);
  return answer;
}

void PreviewRoute::DescribeHome(nlohmann::json& answer, EntryId home) const {
  answer["home"] = std::to_string(home.value());
  const ViewMember* member = this->core.view().Find(home);
  if (member != nullptr) {
    answer["home_admin"] = EndpointText(member->admin_endpoint);
  }
}

nlohmann::json PreviewRoute::DescribeCandidate(
    const CandidatePreview& candidate) const {
  nlohmann::json described = {
      {"agent", std::to_string(candidate.agent.value())},
      {"verdict", EnumName(candidate.verdict)},
      {"millicores_in_use", candidate.taken.millicores},
      {"millicores", candidate.capacity.millicores},
      {"slowness", candidate.slowness},
      {"report_age_ms", Milliseconds(candidate.report_age)}};
  const KnownAgent* agent = this->core.agents().Find(candidate.agent);
  if (agent != nullptr && agent->description) {
    described["upstream"] = agent->description->upstream;
  }
  return described;
}

}  // namespace dandelionspur
