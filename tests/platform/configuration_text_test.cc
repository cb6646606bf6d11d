#include <gtest/gtest.h>

#include <string>

#include "platform/desired_state.h"

namespace dandelionspur {
namespace {

// Makes the decoder leave its single pass for the reader that words problems:
// only the latter skips a mark of the byte order.
constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";
// Leaves the columns in messages the same.
constexpr const char* kSameLength = "   ";

// The texts of all documents, or the refusal.
std::string Decoded(const std::string& text) {
  return OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(documents, DecodeConfiguration(text));
        std::string decoded;
        for (const VersionedDocument& document : documents) {
          decoded += std::to_string(document.version.value()) + " " +
                     document.service.value() + " " + document.text + "\n";
        }
        return decoded;
      },
      [](const std::string& problem) { return problem; });
}

std::string Configuration(const std::string& route) {
  return R"({"version":7,"services":[{"name":"s"},{"name":"t"}],"routes":[)" +
         route + R"(],"limits":{}})";
}

// Guards against another form of the documents that are stored, recorded and
// shown, which older versions and the decisions in a record depend on.
TEST(ConfigurationTextTest, KeepsItsForm) {
  EXPECT_EQ(
      Decoded(Configuration(
          R"({"service":"t","host":"h\u00e9\"","path_prefix":"/p\n/",)"
          R"("timeout_ms":1500,"target_latency_ms":60,"priority":2,)"
          R"("max_attempts":4,"stretch":1.6},)"
          R"({"service":"t","host":"h","path_prefix":"/"})")),
      "7 s "
      R"({"order":"least_slack","owner":"platform","routes":[],"service":"s"})"
      "\n"
      "7 t "
      R"({"order":"least_slack","owner":"platform","routes":[)"
      "{\"host\":\"h\xC3\xA9\\\"\","
      R"("maximum_attempts":4,"objective_latency_ms":60,)"
      R"("objective_percent":160,"path_prefix":"/p\n/","priority":2,)"
      R"("timeout_ms":1500},{"host":"h","maximum_attempts":1,)"
      R"("objective_latency_ms":0,"objective_percent":0,"path_prefix":"/",)"
      R"("priority":0,"timeout_ms":30000}],"service":"t"})"
      "\n");
}

struct RouteCase {
  const char* name;
  // Fields of a route beside its service, host and prefix.
  const char* fields;
};

class BothPassesTest : public testing::TestWithParam<RouteCase> {};

// Guards against a route that is read in one way alone and in another beside an
// odd neighbour.
TEST_P(BothPassesTest, ReadTheSame) {
  const std::string text =
      Configuration(R"({"service":"s","host":"h","path_prefix":"/p/")" +
                    std::string(this->GetParam().fields) + "}");
  EXPECT_EQ(Decoded(kSameLength + text), Decoded(kByteOrderMark + text));
}

INSTANTIATE_TEST_SUITE_P(
    Routes, BothPassesTest,
    testing::Values(
        RouteCase{"Plain", ""}, RouteCase{"Integer", R"(,"timeout_ms":1500)"},
        RouteCase{"NegativeZero", R"(,"priority":-0)"},
        RouteCase{"Fraction", R"(,"timeout_ms":1500.0)"},
        RouteCase{"Exponent", R"(,"timeout_ms":15e2)"},
        RouteCase{"Null", R"(,"timeout_ms":null)"},
        RouteCase{"SetTwice", R"(,"timeout_ms":1,"timeout_ms":2)"},
        RouteCase{"HostSetTwice", R"(,"host":"other")"},
        RouteCase{"EmptyHost", R"(,"host":"")"},
        RouteCase{"UnknownField", R"(,"x":true)"},
        RouteCase{"UnknownNestedField", R"(,"x":[{}])"},
        RouteCase{"UnknownHugeField", R"(,"x":1e400)"},
        RouteCase{"UnknownHugeNestedField", R"(,"x":[1e400])"},
        RouteCase{"Stretch", R"(,"stretch":1.2345)"},
        RouteCase{"IntegerStretch", R"(,"stretch":2)"},
        RouteCase{"HugeStretch", R"(,"stretch":1e300)"},
        RouteCase{"Above64Bits", R"(,"timeout_ms":18446744073709551616)"},
        RouteCase{"Above63Bits", R"(,"timeout_ms":9223372036854775808)"},
        RouteCase{"Escapes", R"(,"host":"\u00e9\ud83d\ude00\u0000\/")"},
        RouteCase{"LoneSurrogate", R"(,"host":"\ud800")"},
        RouteCase{"NotUtf8", ",\"host\":\"\xFF\""},
        RouteCase{"Comment", "/* */"}, RouteCase{"TrailingComma", ","}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
