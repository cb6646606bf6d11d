#include <gtest/gtest.h>

#include <string>

#include "platform/desired_state.h"
#include "platform/job_calls.h"
#include "platform/upstream_calls.h"
#include "platform/upstream_heartbeat.h"

namespace dandelionspur {
namespace {

std::string Nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

constexpr std::size_t kLevels = 1'000'000;

// Guards against an entry that ends because one caller sends a job that is
// nested so deeply that copying it overflows the stack.
TEST(OddJobTest, DeeplyNestedJobIsRefusedAndEndsNoProcess) {
  const auto decoded =
      DecodeJob(R"({"best_effort":true,"steps":[{"count":1}],"x":)" +
                Nested(kLevels) + "}");
  EXPECT_TRUE(std::holds_alternative<JobDecodeError>(decoded));
}

// Guards against entries that end because the operators' configuration is
// nested so deeply that copying a field of it overflows the stack.
TEST(OddConfigurationTest, DeeplyNestedFieldEndsNoProcess) {
  const std::string text =
      R"({"version":7,"services":[{"name":"s"}],"routes":[{"service":"s",)"
      R"("path_prefix":"/p/","host":)" +
      Nested(kLevels) + "}]}";
  OrElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeConfiguration(text));
        return true;
      },
      [](const std::string&) { return false; });
}

struct OddConfigurationCase {
  const char* name;
  std::string text;
};

class OddConfigurationTextTest
    : public testing::TestWithParam<OddConfigurationCase> {};

// Guards against a configuration that is taken in parts, or whose fault nobody
// can read in the log.
TEST_P(OddConfigurationTextTest, IsRefusedAsAWholeWithOneBoundedLine) {
  constexpr std::size_t kMaximumLine = 310;
  const std::string problem = OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(DecodeConfiguration(this->GetParam().text));
        return std::string();
      },
      [](const std::string& message) { return message; });
  EXPECT_TRUE(problem.starts_with("configuration: ")) << problem;
  EXPECT_LE(problem.size(), kMaximumLine);
  EXPECT_EQ(problem.find('\n'), std::string::npos);
}

std::string ConfigurationText(const std::string& routes) {
  return R"({"version":7,"services":[{"name":"s"},{"name":"t"}],"routes":[)"
         R"({"service":"s","host":"h","path_prefix":"/p/"})" +
         routes + "]}";
}

// A second route, with fields beside its service, host and prefix.
std::string RouteWith(const std::string& fields) {
  return ConfigurationText(
      R"(,{"service":"s","host":"h","path_prefix":"/q/",)" + fields + "}");
}

std::string LargeConfiguration() {
  constexpr std::size_t kSpaces = 5'000'000;
  return ConfigurationText(std::string(kSpaces, ' '));
}

INSTANTIATE_TEST_SUITE_P(
    Texts, OddConfigurationTextTest,
    testing::Values(
        OddConfigurationCase{"Empty", ""},
        OddConfigurationCase{"Nested", Nested(kLevels)},
        OddConfigurationCase{"NestedField",
                             RouteWith("\"x\":" + Nested(5'000))},
        OddConfigurationCase{"SameRouteTwice",
                             ConfigurationText(R"(,{"service":"s","host":"h",)"
                                               R"("path_prefix":"/p/"})")},
        OddConfigurationCase{"SamePrefixOfTwoServices",
                             ConfigurationText(R"(,{"service":"t","host":"h",)"
                                               R"("path_prefix":"/p/"})")},
        OddConfigurationCase{"UnknownService",
                             ConfigurationText(R"(,{"service":"u","host":"h",)"
                                               R"("path_prefix":"/q/"})")},
        OddConfigurationCase{
            "LongUnknownService",
            ConfigurationText(R"(,{"service":")" + std::string(5'000, 'u') +
                              R"(\n","host":"h","path_prefix":"/q/"})")},
        OddConfigurationCase{"TimeoutOfZero", RouteWith(R"("timeout_ms":0)")},
        OddConfigurationCase{"NegativeTimeout",
                             RouteWith(R"("timeout_ms":-1)")},
        OddConfigurationCase{"TimeoutBeyond64Bits",
                             RouteWith(R"("timeout_ms":18446744073709551616)")},
        OddConfigurationCase{"TimeoutBeyond63Bits",
                             RouteWith(R"("timeout_ms":9223372036854775808)")},
        OddConfigurationCase{"LongTimeout",
                             RouteWith(R"("timeout_ms":3600001)")},
        OddConfigurationCase{"TimeoutIsText", RouteWith(R"("timeout_ms":"7")")},
        OddConfigurationCase{"NoAttempts", RouteWith(R"("max_attempts":0)")},
        OddConfigurationCase{"HostIsNumber", RouteWith(R"("host":7)")},
        OddConfigurationCase{"RoutesAreObject",
                             R"({"version":7,"services":[],"routes":{}})"},
        OddConfigurationCase{"RouteIsText", ConfigurationText(R"(,"r")")},
        OddConfigurationCase{
            "VersionBeyond64Bits",
            R"({"version":18446744073709551616,"services":[],"routes":[]})"},
        OddConfigurationCase{"CutOff",
                             RouteWith(R"("priority":2)").substr(0, 100)},
        OddConfigurationCase{"LargerThanAnyRow", LargeConfiguration()}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct OddFieldCase {
  const char* name;
  std::string text;
};

std::string CaseName(const testing::TestParamInfo<OddFieldCase>& tested) {
  return tested.param.name;
}

class OddJobFieldTest : public testing::TestWithParam<OddFieldCase> {};

// Guards against a job whose tasks need or declare another amount than its
// caller wrote, because a number doesn't fit.
TEST_P(OddJobFieldTest, IsRefused) {
  const auto decoded = DecodeJob(R"({"best_effort":true,"steps":[{"count":1,)" +
                                 this->GetParam().text + "}]}");
  EXPECT_TRUE(std::holds_alternative<JobDecodeError>(decoded));
}

INSTANTIATE_TEST_SUITE_P(
    Fields, OddJobFieldTest,
    testing::Values(OddFieldCase{"NegativeCores", R"("cpu":-1)"},
                    OddFieldCase{"FractionOfACore", R"("cpu":0.5)"},
                    OddFieldCase{"HugeCores", R"("cpu":1e300)"},
                    OddFieldCase{"CoresAreNull", R"("cpu":null)"},
                    OddFieldCase{"HugeMemory", R"("mem_mb":1e30)"},
                    OddFieldCase{"HugeEstimate", R"("estimate_ms":1e30)"},
                    OddFieldCase{"LongEstimate",
                                 R"("estimate_ms":9000000000000)"},
                    OddFieldCase{"NegativeEstimate", R"("estimate_ms":-5)"},
                    OddFieldCase{"NegativeCount", R"("count":-1)"},
                    OddFieldCase{"FractionalCount", R"("count":1.9)"}),
    CaseName);

class OddHeartbeatFieldTest : public testing::TestWithParam<OddFieldCase> {};

// Guards against an upstream that gets more tasks than it can run, or a clock
// that overflows, because a number in its heartbeat doesn't fit. The last of
// several fields with one name counts.
TEST_P(OddHeartbeatFieldTest, IsRefused) {
  HttpRequest request{boost::beast::http::verb::post,
                      "/-/Instances.Heartbeat/i-1", 11};
  request.body() =
      R"({"service":"s","address":"10.0.0.1:80","state":"ready","capacity":)"
      R"({"cpu":1},"clock_ms":5,"seq":4,)" +
      this->GetParam().text + "}";
  const bool is_readable = OrElse(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeUpstreamCall(request));
        return true;
      },
      [](const std::string&) { return false; });
  EXPECT_FALSE(is_readable);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, OddHeartbeatFieldTest,
    testing::Values(
        OddFieldCase{"NegativeCores", R"("capacity":{"cpu":-1})"},
        OddFieldCase{"HugeMemory", R"("capacity":{"mem_mb":1e30})"},
        OddFieldCase{"CapacityIsArray", R"("capacity":[])"},
        OddFieldCase{"NegativeSequence", R"("seq":-1)"},
        OddFieldCase{"HugeSequence", R"("seq":18446744073709551616)"},
        OddFieldCase{"ClockOverflows", R"("clock_ms":9223372036854775807)"},
        OddFieldCase{"HugeClock", R"("clock_ms":1e300)"},
        OddFieldCase{"HugeStart", R"("born":1e300)"},
        OddFieldCase{"PortZero", R"("address":"10.0.0.1:0")"},
        OddFieldCase{"PortAboveRange", R"("address":"10.0.0.1:70000")"},
        OddFieldCase{"LabelIsNumber", R"("labels":["a",1])"},
        OddFieldCase{"Infinite", R"("x":1e400)"},
        OddFieldCase{"Nested", "\"x\":" + Nested(kLevels)}),
    CaseName);

class OddListTest : public testing::TestWithParam<OddFieldCase> {};

// Guards against runs that are taken for others, and a clock that overflows,
// because a number in an upstream's answer doesn't fit.
TEST_P(OddListTest, HasUnknownOutcome) {
  const HttpResult result{
      HttpProgress::kAnswered,
      MakeHttpResponse(200, "application/json",
                       R"({"clock_ms":7,"running":[],"finished":[],)" +
                           this->GetParam().text + "}")};
  EXPECT_EQ(DecodeListAnswer(result).answer.outcome, OrderOutcome::kUnknown);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, OddListTest,
    testing::Values(
        OddFieldCase{"NegativeRun", R"("running":[["a",-1]])"},
        OddFieldCase{"FractionalRun", R"("running":[["a",1.5]])"},
        OddFieldCase{"RowIsObject", R"("running":[{"0":"a","1":1}])"},
        OddFieldCase{"RunningIsText", R"("running":"a")"},
        OddFieldCase{"HugeNumber", R"("finished":[[1e30,"a",1,"done"]])"},
        OddFieldCase{"ClockOverflows", R"("clock_ms":9223372036854775807)"},
        OddFieldCase{"HugeClock", R"("clock_ms":1e300)"}),
    CaseName);

// Guards against a timeout that overflows when it is added to the time.
TEST(OddTimeoutTest, LongestTimeoutIsBounded) {
  HttpRequest request{boost::beast::http::verb::post, "/", 11};
  request.set("X-Deadline-Ms", "9223372036854775807");
  EXPECT_EQ(CallerTimeout(request), std::nullopt);
}

}  // namespace
}  // namespace dandelionspur
