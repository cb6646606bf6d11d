#include "services/entry/caller_routes.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace dandelionspur {
namespace {

JobAnswer Complete(const std::string& result) {
  JobAnswer answer;
  answer.verdict = Verdict::kRan;
  answer.reason = Reason::kComplete;
  answer.results = {Payload::FromBytes(result)};
  return answer;
}

struct ResultCase {
  const char* name;
  std::string bytes;
  // The result as JSON.
  const char* json;
};

class ResultBytesTest : public testing::TestWithParam<ResultCase> {};

// Guards against a caller who gets other bytes than its task's result.
TEST_P(ResultBytesTest, ReachTheCallerUnchanged) {
  const ResultCase& tested = this->GetParam();
  const JobAnswer answer = Complete(tested.bytes);
  const auto body =
      nlohmann::json::parse(AnswerResponse(answer, false, "").body());
  EXPECT_EQ(body.at("results").at(0), nlohmann::json::parse(tested.json));
  EXPECT_EQ(AnswerResponse(answer, true, "").body(), tested.bytes);
}

INSTANTIATE_TEST_SUITE_P(
    Results, ResultBytesTest,
    testing::Values(ResultCase{"Empty", "", R"("")"},
                    ResultCase{"Text", "größe", R"("größe")"},
                    ResultCase{"Bytes", "\x89PNG", R"({"base64": "iVBORw=="})"},
                    ResultCase{"OneByte", "\xff", R"({"base64": "/w=="})"}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
