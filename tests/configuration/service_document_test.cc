#include "libraries/configuration/service_document.h"

#include <gtest/gtest.h>

#include <string>

namespace dandelionspur {
namespace {

// Makes the parser leave its single pass for the reader that words problems:
// only the latter skips a mark of the byte order.
constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";
// Leaves the columns in messages the same.
constexpr const char* kSameLength = "   ";

// All that a document says, or the refusal.
std::string Parsed(const std::string& text) {
  return OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(document, ParseServiceDocument(text, "document"));
        std::string parsed = document.service.value() + " " +
                             std::to_string(document.maximum_queued_tasks) +
                             " " +
                             std::to_string(document.client_accounts.size());
        for (const Route& route : document.routes) {
          parsed += "\n" + route.host + " " + route.path_prefix + " " +
                    std::to_string(route.timeout.count()) + " " +
                    std::to_string(route.priority) + " " +
                    std::to_string(route.maximum_attempts) + " " +
                    std::to_string(route.objective_percent) + " " +
                    std::to_string(route.objective_latency.count());
        }
        return parsed;
      },
      [](const std::string& problem) { return problem; });
}

struct DocumentCase {
  const char* name;
  const char* text;
};

class BothPassesTest : public testing::TestWithParam<DocumentCase> {};

// Guards against a document that says one thing to the pass for long lists and
// another to the reader that words problems.
TEST_P(BothPassesTest, ReadTheSame) {
  const std::string text = this->GetParam().text;
  EXPECT_EQ(Parsed(kSameLength + text), Parsed(kByteOrderMark + text));
}

INSTANTIATE_TEST_SUITE_P(
    Documents, BothPassesTest,
    testing::Values(
        DocumentCase{"NoRoutes", R"({"service":"s","owner":"o"})"},
        DocumentCase{"EmptyRoutes",
                     R"({"service":"s","owner":"o","routes":[]})"},
        DocumentCase{"NullRoutes",
                     R"({"service":"s","owner":"o","routes":null})"},
        DocumentCase{"AllFields",
                     R"({"service":"s","owner":"o","routes":[{"host":"h",)"
                     R"("path_prefix":"/","timeout_ms":7,"priority":2,)"
                     R"("maximum_attempts":3,"objective_percent":160,)"
                     R"("objective_latency_ms":60}],)"
                     R"("client_accounts":[{"name":"a"}],)"
                     R"("maximum_queued_tasks":9})"},
        DocumentCase{"Comments",
                     "// \n{\"service\":\"s\",\"owner\":\"o\",\"routes\":[/**/"
                     "{\"host\":\"h\",\"path_prefix\":\"/\"}]}"},
        DocumentCase{"UnknownFieldOfRoute",
                     R"({"service":"s","owner":"o","routes":[{"host":"h",)"
                     R"("path_prefix":"/","x":1}]})"},
        DocumentCase{"UnknownField",
                     R"({"service":"s","owner":"o","x":1,"routes":[]})"},
        DocumentCase{"NoHost", R"({"service":"s","owner":"o","routes":[)"
                               R"({"path_prefix":"/"}]})"},
        DocumentCase{"TimeoutOfZero",
                     R"({"service":"s","owner":"o","routes":[{"host":"h",)"
                     R"("path_prefix":"/","timeout_ms":0}]})"},
        DocumentCase{"TwoProblems",
                     R"({"service":"s","routes":[{"host":"h"}],"x":1})"},
        DocumentCase{"RouteIsList",
                     R"({"service":"s","owner":"o","routes":[["h","/"]]})"}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
