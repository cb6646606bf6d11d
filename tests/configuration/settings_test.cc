#include "libraries/configuration/settings.h"

#include <gtest/gtest.h>

#include "libraries/configuration/object_reader.h"
#include "libraries/configuration/service_document.h"

namespace dandelionspur {
namespace {

// Returns the problem that a parser reports, or an empty string.
template <typename Parser>
std::string ProblemOf(Parser&& parser, const std::string& text) {
  return OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parser(text, "file.json"));
        return std::string();
      },
      [](const std::string& message) { return message; });
}

struct ExampleCase {
  const char* name;
  const char* path;
  std::string (*problem)(const std::string& text);
};

class ExampleFileTest : public testing::TestWithParam<ExampleCase> {};

TEST_P(ExampleFileTest, IsAccepted) {
  const std::string path =
      std::string(SOURCE_DIRECTORY) + "/" + this->GetParam().path;
  const std::string text =
      OrElse([&] { return ReadFile(path); },
             [](const std::string&) { return std::string("unreadable"); });
  EXPECT_EQ(this->GetParam().problem(text), "");
}

std::string EntryProblem(const std::string& text) {
  return ProblemOf(ParseEntrySettings, text);
}
std::string AgentProblem(const std::string& text) {
  return ProblemOf(ParseAgentSettings, text);
}
std::string DocumentProblem(const std::string& text) {
  return ProblemOf(ParseServiceDocument, text);
}

INSTANTIATE_TEST_SUITE_P(
    Examples, ExampleFileTest,
    testing::Values(ExampleCase{"Entry", "examples/entry.json", EntryProblem},
                    ExampleCase{"Agent", "examples/agent.json", AgentProblem},
                    ExampleCase{"Service", "examples/service.json",
                                DocumentProblem}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct ProtocolCase {
  const char* name;
  const char* fields;
  UpstreamProtocol protocol;
};

class EntryProtocolTest : public testing::TestWithParam<ProtocolCase> {};

// Guards against an entry on the platform that passes on bodies which the
// agents there must refuse, because its settings don't name the protocol.
TEST_P(EntryProtocolTest, IsThePlatformsWhereThePlatformAsksForReadiness) {
  const std::string text =
      std::string(R"({"data_centre": "d", "callers": "127.0.0.1:1",
                      "peers": "127.0.0.1:2", "admin": "127.0.0.1:3",
                      "table": "127.0.0.1:4")") +
      this->GetParam().fields + "}";
  const EntrySettings settings =
      OrElse([&] { return ParseEntrySettings(text, "file.json"); },
             [](const std::string& problem) {
               ADD_FAILURE() << problem;
               return EntrySettings();
             });
  EXPECT_EQ(settings.upstream_protocol, this->GetParam().protocol);
}

INSTANTIATE_TEST_SUITE_P(
    Protocols, EntryProtocolTest,
    testing::Values(ProtocolCase{"Default", "", UpstreamProtocol::kOwn},
                    ProtocolCase{"Readiness", R"(, "readiness": "127.0.0.1:5")",
                                 UpstreamProtocol::kPlatform},
                    ProtocolCase{"Named",
                                 R"(, "upstream_protocol": "platform")",
                                 UpstreamProtocol::kPlatform},
                    ProtocolCase{"NamedBesideReadiness",
                                 R"(, "readiness": "127.0.0.1:5",
                        "upstream_protocol": "own")",
                                 UpstreamProtocol::kOwn}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct ProblemCase {
  const char* name;
  const char* text;
  const char* problem;
  std::string (*check)(const std::string& text);
};

class ProblemTest : public testing::TestWithParam<ProblemCase> {};

TEST_P(ProblemTest, NamesFileFieldAndWhatIsAllowed) {
  EXPECT_EQ(this->GetParam().check(this->GetParam().text),
            this->GetParam().problem);
}

INSTANTIATE_TEST_SUITE_P(
    Problems, ProblemTest,
    testing::Values(
        ProblemCase{"MissingField", R"({"owner": "o"})",
                    "file.json: field \"service\" is missing", DocumentProblem},
        ProblemCase{"UnknownField", R"({"service": "s", "owner": "o", "x": 1})",
                    "file.json: field \"x\" is unknown", DocumentProblem},
        ProblemCase{"WrongType", R"({"service": 1, "owner": "o"})",
                    "file.json: field \"service\" must be a string that is not "
                    "empty",
                    DocumentProblem},
        ProblemCase{"OutOfRange",
                    R"({"service": "s", "owner": "o", "retry_percent": 101})",
                    "file.json: field \"retry_percent\" must be an integer "
                    "from 0 to 100",
                    DocumentProblem},
        ProblemCase{"QuarantineOutOfRange",
                    R"({"service": "s", "owner": "o",
                        "maximum_quarantined_percent": 101})",
                    "file.json: field \"maximum_quarantined_percent\" must be "
                    "an integer from 0 to 100",
                    DocumentProblem},
        ProblemCase{"UnknownProtocol",
                    R"({"data_centre": "d",
                        "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
                        "admin": "127.0.0.1:3", "table": "127.0.0.1:4",
                        "upstream_protocol": "x"})",
                    "file.json: field \"upstream_protocol\" must be one of: "
                    "own, platform",
                    EntryProblem},
        ProblemCase{"HeldBelowBody",
                    R"({"data_centre": "d",
                        "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
                        "admin": "127.0.0.1:3", "table": "127.0.0.1:4",
                        "client_limits": {"held_bytes": 4096}})",
                    "file.json: field \"client_limits.held_bytes\" must be "
                    "above body_bytes",
                    EntryProblem},
        ProblemCase{"UnknownChoice",
                    R"({"service": "s", "owner": "o", "order": "best"})",
                    "file.json: field \"order\" must be one of: "
                    "shortest_remaining, first_in_first_out, "
                    "least_slack",
                    DocumentProblem},
        ProblemCase{
            "NestedField",
            R"({"service": "s", "owner": "o",
                        "client_accounts": [{"name": "a"}, {"name": "b", "weight": 0}]})",
            "file.json: field \"client_accounts[1].weight\" must be an integer "
            "from 1 to 1000",
            DocumentProblem},
        ProblemCase{"ClientAccountTwice",
                    R"({"service": "s", "owner": "o",
                        "client_accounts": [{"name": "a"}, {"name": "a"}]})",
                    "file.json: field \"client_accounts\" must not name a "
                    "client account twice",
                    DocumentProblem},
        ProblemCase{"DeadlineOrder",
                    R"({"service": "s", "owner": "o",
                        "maximum_deadline_ms": 100})",
                    "file.json: field \"default_deadline_ms\" must not exceed "
                    "maximum_deadline_ms",
                    DocumentProblem},
        ProblemCase{"WindowBelowDeadline",
                    R"({"service": "s", "owner": "o",
                        "duplicate_window_ms": 60000})",
                    "file.json: field \"duplicate_window_ms\" must not be "
                    "below maximum_deadline_ms",
                    DocumentProblem},
        ProblemCase{"NotAnObject", "[]",
                    "file.json: the document must be an object",
                    DocumentProblem},
        ProblemCase{"NotAnAddress",
                    R"({"data_centre": "d",
                        "admin": {"address": "localhost", "port": 1},
                        "table": {"address": "127.0.0.1", "port": 1}})",
                    "file.json: field \"admin.address\" must be an IP number",
                    AgentProblem},
        ProblemCase{"PortOutOfRange",
                    R"({"data_centre": "d",
                        "admin": {"address": "127.0.0.1", "port": 70000},
                        "table": {"address": "127.0.0.1", "port": 1}})",
                    "file.json: field \"admin.port\" must be an integer from 1 "
                    "to 65535",
                    AgentProblem},
        ProblemCase{"TextIsNotAnEndpoint",
                    R"({"data_centre": "d", "admin": "127.0.0.1",
                        "table": "127.0.0.1:1"})",
                    "file.json: field \"admin\" must be \"IP:PORT\" or an "
                    "object of both",
                    AgentProblem},
        ProblemCase{"StopsBeforeHandOverCanComplete",
                    R"({"data_centre": "d", "callers": "127.0.0.1:1",
                        "peers": "127.0.0.1:2", "admin": "127.0.0.1:3",
                        "table": "127.0.0.1:4",
                        "drain_accepts_ms": 2000, "stop_within_s": 2.5})",
                    "file.json: field \"stop_within_s\" must be at least 1 s "
                    "above drain_accepts_ms",
                    EntryProblem},
        ProblemCase{"SecondsAsText",
                    R"({"data_centre": "d", "callers": "127.0.0.1:1",
                        "peers": "127.0.0.1:2", "admin": "127.0.0.1:3",
                        "table": "127.0.0.1:4", "stop_within_s": "6"})",
                    "file.json: field \"stop_within_s\" must be a number of "
                    "seconds from 1 to 3600",
                    EntryProblem},
        ProblemCase{"ZeroCores",
                    R"({"data_centre": "d", "callers": "127.0.0.1:1",
                        "peers": "127.0.0.1:2", "admin": "127.0.0.1:3",
                        "table": "127.0.0.1:4", "cores": 0})",
                    "file.json: field \"cores\" must be a number from 0.001 to "
                    "1024",
                    EntryProblem}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(ParseJsonTest, InvalidJsonIsReportedInOneLine) {
  const std::string problem = DocumentProblem("{\"service\": ");
  EXPECT_EQ(problem.rfind("file.json: not valid JSON: ", 0), 0U);
  EXPECT_EQ(problem.find('\n'), std::string::npos);
}

TEST(ChangedSettingsTest, NamesDifferingSettings) {
  EntrySettings before;
  EntrySettings after = before;
  EXPECT_EQ(ChangedSettings(before, after), std::vector<std::string>());
  after.table = {"127.0.0.1", 1};
  after.recording.spool_bytes = 7;
  EXPECT_EQ(ChangedSettings(before, after),
            (std::vector<std::string>{"table", "recording"}));
}

}  // namespace
}  // namespace dandelionspur
