#include "services/entry/table_watcher.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "libraries/protocol/agent_row.h"
#include "libraries/protocol/view_row.h"
#include "platform/base64.h"

namespace dandelionspur {
namespace {

using nlohmann::json;
namespace asio = boost::asio;

constexpr std::chrono::milliseconds kLongEnough{300};

ViewMember Member(std::uint64_t id) {
  ViewMember member;
  member.entry = EntryId(id);
  member.peer_endpoint = {"10.0.0.1", 1};
  member.admin_endpoint = {"10.0.0.1", 2};
  return member;
}

json WireRow(const std::string& key, const std::string& value) {
  return {{"key", key}, {"schema_version", 5}, {"value", EncodeBase64(value)}};
}

std::string Document(const std::string& service) {
  return json{{"service", service},
              {"version", 3},
              {"change_id", "c"},
              {"previous_change_id", ""},
              {"text", "{}"}}
      .dump();
}

// A watcher of a table service that answers with the rows of the test.
class TableWatcherTest : public testing::Test {
 protected:
  ~TableWatcherTest() override { this->threads.Stop(); }

  // Lets the watcher read `rows` of its own table, and then the operators'
  // rows.
  void Read(const json& own_rows, const json& operator_rows) {
    this->answers["dandelionspur"] = this->Answer(own_rows);
    this->answers["op"] = this->Answer(operator_rows);
    auto created = OrElse(
        [&]() -> Result<std::unique_ptr<HttpServer>> {
          return HttpServer::Create({"127.0.0.1", 0}, this->threads,
                                    [this](const HttpRequest& request,
                                           const HttpResponder& responder) {
                                      this->Handle(request, responder);
                                    });
        },
        [](const std::string&) { return std::unique_ptr<HttpServer>(); });
    ASSERT_NE(created, nullptr);
    this->server = std::move(created);
    EntrySettings settings;
    settings.table = {"127.0.0.1", this->server->port()};
    settings.agents_are_listed = this->agents_are_listed;
    this->watcher = std::make_unique<TableWatcher>(
        settings, Member(1), this->context, this->metrics,
        [this](const EntryEvent& event) { this->Note(event); });
    this->watcher->Start();
    this->context.run_for(kLongEnough);
  }

  void Release(const ReleaseAgentAddress& released) {
    this->writes.clear();
    this->watcher->Release(released);
    this->context.restart();
    this->context.run_for(kLongEnough);
  }

  [[nodiscard]] bool Counted(const std::string& kind) const {
    return this->metrics.SerializeToText().find(
               "unreadable_configurations_total{kind=\"" + kind + "\"}") !=
           std::string::npos;
  }

  [[nodiscard]] bool Skipped(const std::string& reason, int count) const {
    return this->metrics.SerializeToText().find(
               "configurations_skipped_total{reason=\"" + reason + "\"} " +
               std::to_string(count) + "\n") != std::string::npos;
  }

  [[nodiscard]] bool Failed(int count) const {
    return this->metrics.SerializeToText().find(
               "handler_failures_total{kind=\"row\"} " + std::to_string(count) +
               "\n") != std::string::npos;
  }

  // The operators' rows that change after those that Read was given, one list
  // an answer. Null: all rows are removed, and the history of that is gone.
  std::vector<json> operator_changes;
  // Reading the document of this service throws; empty: of none.
  std::string throwing_service;
  std::vector<VersionedDocument> documents;
  std::vector<std::string> services;
  std::vector<Epoch> epochs;
  std::vector<EvacuationSet> evacuations;
  bool agents_are_listed = false;
  std::vector<AgentAddressesRead> agent_lists;
  // The transactions that the watcher has sent. None takes effect.
  std::vector<json> writes;

 private:
  static std::string Answer(const json& rows) {
    return json{{"schema_version", 9}, {"rows", rows}}.dump();
  }

  void Handle(const HttpRequest& request, const HttpResponder& responder) {
    const std::string target(request.target());
    constexpr unsigned kOk = 200;
    constexpr unsigned kConflict = 412;
    if (target.starts_with("/-/rows-tx")) {
      this->writes.push_back(json::parse(request.body()));
      responder(MakeHttpResponse(kConflict, "application/json", "{}"));
      return;
    }
    const std::string table =
        target.find("table=op") != std::string::npos ? "op" : "dandelionspur";
    if (target.starts_with("/-/rows-feed")) {
      const bool has_changes =
          table == "op" && this->next_change < this->operator_changes.size();
      if (!has_changes) return;
      const json& rows = this->operator_changes[this->next_change++];
      if (rows.is_null()) {
        constexpr unsigned kGone = 410;
        this->answers["op"] = Answer(json::array());
        responder(MakeHttpResponse(kGone, "application/json", "{}"));
        return;
      }
      responder(MakeHttpResponse(kOk, "application/json", Answer(rows)));
      return;
    }
    responder(MakeHttpResponse(kOk, "application/json", this->answers[table]));
  }

  void Note(const EntryEvent& event) {
    if (const auto* read = std::get_if<DocumentRead>(&event)) {
      const std::string& service = read->document.service.value();
      if (service == this->throwing_service) throw std::runtime_error(service);
      this->services.push_back(read->document.service.value());
      this->documents.push_back(read->document);
    }
    if (const auto* read = std::get_if<EvacuationsRead>(&event)) {
      this->evacuations.push_back(read->evacuations);
    }
    if (const auto* read = std::get_if<AgentAddressesRead>(&event)) {
      this->agent_lists.push_back(*read);
    }
    if (const auto* read = std::get_if<ViewRead>(&event)) {
      this->epochs.push_back(read->view.epoch);
    }
  }

  ThreadGroup threads{1};
  asio::io_context context{1};
  Metrics metrics;
  std::map<std::string, std::string> answers;
  std::size_t next_change = 0;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<TableWatcher> watcher;
};

// A version of the operators' row that names these services.
json ConfigurationRow(std::uint64_t version,
                      const std::vector<std::string>& services) {
  json list = json::array();
  for (const std::string& service : services) {
    list.push_back({{"name", service}});
  }
  json row = WireRow(
      "config",
      json{{"version", version}, {"services", list}, {"routes", json::array()}}
          .dump());
  row["schema_version"] = version;
  return row;
}

// Guards against an entry that falls further behind the faster the
// configuration changes, because it reads versions that were overtaken.
TEST_F(TableWatcherTest, OnlyTheNewestVersionOfAnAnswerIsRead) {
  this->Read(json::array(),
             {ConfigurationRow(3, {"s"}), ConfigurationRow(9, {"s"}),
              WireRow("other", ""), ConfigurationRow(5, {"s"})});
  ASSERT_EQ(this->documents.size(), 1U);
  EXPECT_EQ(this->documents[0].version, DocumentVersion(9));
  EXPECT_TRUE(this->Skipped("overtaken", 2));
  EXPECT_TRUE(this->Skipped("older", 0));
}

// Guards against a removed service that keeps its routes, because a store that
// was behind showed a configuration from before the service was added.
TEST_F(TableWatcherTest, AnOlderVersionDoesNotHideAServiceThatIsRemovedLater) {
  this->operator_changes = {json::array({ConfigurationRow(7, {"old"})}),
                            json::array({ConfigurationRow(9, {"old"})})};
  this->Read(json::array(),
             json::array({ConfigurationRow(8, {"added", "old"})}));
  EXPECT_EQ(this->services,
            (std::vector<std::string>{"added", "old", "old", "added"}));
  ASSERT_FALSE(this->documents.empty());
  EXPECT_EQ(this->documents.back().version, DocumentVersion(9));
  EXPECT_TRUE(this->Skipped("older", 1));
}

// Guards against an entry that drops the version in force, or doesn't follow
// the configuration any more, because one version of it is odd.
TEST_F(TableWatcherTest, AnOddVersionLeavesTheOneInForce) {
  json odd =
      WireRow("config", R"({"version":9,"services":[{"name":"s"}],"routes":[)"
                        R"({"service":"s","host":"h","path_prefix":"/",)"
                        R"("timeout_ms":0}]})");
  this->operator_changes = {json::array({odd}),
                            json::array({ConfigurationRow(10, {"s"})})};
  this->Read(json::array(), json::array({ConfigurationRow(8, {"s"})}));
  ASSERT_EQ(this->documents.size(), 2U);
  EXPECT_EQ(this->documents[0].version, DocumentVersion(8));
  EXPECT_EQ(this->documents[1].version, DocumentVersion(10));
  EXPECT_TRUE(this->Counted("operators"));
}

// Guards against an entry that ends, or doesn't follow the table any more,
// because handling one row throws.
TEST_F(TableWatcherTest, ARowWhoseHandlerThrowsLeavesItsNeighbours) {
  this->throwing_service = "odd";
  this->operator_changes = {json::array({ConfigurationRow(9, {"odd"})}),
                            json::array({ConfigurationRow(10, {"s"})})};
  this->Read({WireRow("service.before", Document("before")),
              WireRow("service.odd", Document("odd")),
              WireRow("service.zafter", Document("zafter"))},
             json::array());
  EXPECT_EQ(this->services,
            (std::vector<std::string>{"before", "zafter", "s"}));
  // Its own row, the version that names it, and the one that drops it.
  EXPECT_TRUE(this->Failed(3));
}

// Guards against an entry that follows the configuration, but not the rows that
// evacuate data centres, or misses a removal that the history lacks.
TEST_F(TableWatcherTest, TheEvacuatedDataCentresAreFollowed) {
  const json odd = WireRow("evacuate/a", "\xff[");
  this->operator_changes = {json::array({ConfigurationRow(9, {"s"})}),
                            json::array({WireRow("evacuate/b", "")}), json()};
  this->Read(json::array(), json::array({odd, ConfigurationRow(8, {"s"})}));
  const EvacuationVersion version(9);
  const DataCentreName first("a");
  const DataCentreName second("b");
  EXPECT_EQ(
      this->evacuations,
      (std::vector<EvacuationSet>{
          {version, {first}}, {version, {first, second}}, {version, {}}}));
}

// The agents' rows beside a view, and the addresses that the entry takes from
// them.
struct AgentRowsCase {
  const char* name;
  bool agents_are_listed = true;
  std::uint64_t member = 1;
  std::vector<std::string> values;
  std::optional<std::size_t> listed;
};

class AgentRowsTest : public TableWatcherTest,
                      public testing::WithParamInterface<AgentRowsCase> {};

// Guards against an entry that takes a list for complete that lacks agents.
TEST_P(AgentRowsTest, AreReadOnceTheEntryIsAMember) {
  const AgentRowsCase& tested = this->GetParam();
  this->agents_are_listed = tested.agents_are_listed;
  View view;
  view.epoch = Epoch(4);
  view.members = {Member(tested.member)};
  json rows = json::array();
  for (const std::string& value : tested.values) {
    rows.push_back(
        WireRow("agent.10.0.0." + std::to_string(rows.size()), value));
  }
  rows.push_back(WireRow(kViewRow, EncodeViewRow(view)));
  this->Read(rows, json::array());
  ASSERT_EQ(this->agent_lists.size(), tested.listed ? 1U : 0U);
  if (!tested.listed) return;
  EXPECT_EQ(this->agent_lists[0].epoch, Epoch(4));
  EXPECT_EQ(this->agent_lists[0].addresses.size(), *tested.listed);
}

INSTANTIATE_TEST_SUITE_P(
    Lists, AgentRowsTest,
    testing::Values(AgentRowsCase{"None", true, 1, {}, 0},
                    AgentRowsCase{"Two",
                                  true,
                                  1,
                                  {EncodeAgentRow({{"10.0.0.1", 80}}),
                                   EncodeAgentRow({{"10.0.0.2", 80}})},
                                  2},
                    AgentRowsCase{"OneHasDeparted",
                                  true,
                                  1,
                                  {EncodeAgentRow({{"10.0.0.1", 80}}),
                                   EncodeAgentRow({{"10.0.0.2", 80}, true})},
                                  1},
                    AgentRowsCase{"OneIsOdd",
                                  true,
                                  1,
                                  {EncodeAgentRow({{"10.0.0.1", 80}}), "odd"},
                                  std::nullopt},
                    AgentRowsCase{"NotAMember", true, 2, {}, std::nullopt},
                    AgentRowsCase{"NotSetUp", false, 1, {}, std::nullopt}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct ReleasedRowCase {
  const char* name;
  AgentRow row;
  Duration unchanged_for{};
  bool is_written = false;
};

class ReleasedRowTest : public TableWatcherTest,
                        public testing::WithParamInterface<ReleasedRowCase> {};

// Guards against the address of an agent that is marked as vacant although
// another one has claimed it lately, or claims it just then.
TEST_P(ReleasedRowTest, IsWrittenOnlyIfNoAgentCanHaveClaimedItSince) {
  const Endpoint address{"10.0.0.1", 80};
  const std::string key = AgentRowKey(address);
  json rows = json::array();
  rows.push_back(WireRow(key, EncodeAgentRow(this->GetParam().row)));
  this->Read(rows, json::array());
  this->Release({address, this->GetParam().unchanged_for});
  std::vector<json> of_agent;
  for (const json& write : this->writes) {
    if (write["writes"][0]["key"] == key) of_agent.push_back(write);
  }
  ASSERT_EQ(of_agent.size(), this->GetParam().is_written ? 1U : 0U);
  if (of_agent.empty()) return;
  EXPECT_EQ(of_agent[0]["expected_rev"][0]["schema_version"], 5);
  EXPECT_EQ(of_agent[0]["writes"][0]["value"],
            EncodeBase64(EncodeAgentRow({address, true})));
}

INSTANTIATE_TEST_SUITE_P(
    Rows, ReleasedRowTest,
    testing::Values(ReleasedRowCase{"Listed", {{"10.0.0.1", 80}}, {}, true},
                    ReleasedRowCase{"ListedLately",
                                    {{"10.0.0.1", 80}},
                                    std::chrono::seconds(14),
                                    false},
                    ReleasedRowCase{
                        "Vacant", {{"10.0.0.1", 80}, true}, {}, false}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct OddRowCase {
  const char* name;
  // The JSON text of the odd row.
  std::string row;
  // The counter's label; empty if the row is none of ours.
  std::string kind;
};

class OddRowTest : public TableWatcherTest,
                   public testing::WithParamInterface<OddRowCase> {};

// Guards against entries that end, or don't follow the table any more, because
// another process left one odd row among the others.
TEST_P(OddRowTest, IsCountedAndItsNeighboursAreFollowed) {
  View view;
  view.epoch = Epoch(4);
  view.members = {Member(1)};
  const json odd = json::parse(this->GetParam().row);
  this->Read({WireRow("service.before", Document("before")), odd,
              WireRow("service.zafter", Document("zafter")),
              WireRow(kViewRow, EncodeViewRow(view))},
             json::array({odd}));
  EXPECT_EQ(this->services, (std::vector<std::string>{"before", "zafter"}));
  ASSERT_FALSE(this->epochs.empty());
  EXPECT_EQ(this->epochs.front(), Epoch(4));
  if (!this->GetParam().kind.empty()) {
    EXPECT_TRUE(this->Counted(this->GetParam().kind));
  }
}

std::string Text(const json& row) { return row.dump(); }

INSTANTIATE_TEST_SUITE_P(
    Rows, OddRowTest,
    testing::Values(
        OddRowCase{"NotBase64",
                   R"({"key":"service.s","schema_version":5,"value":"*"})",
                   "row"},
        OddRowCase{"ValueIsNumber",
                   R"({"key":"service.s","schema_version":5,"value":7})",
                   "row"},
        OddRowCase{"ValueMissing", R"({"key":"service.s","schema_version":5})",
                   "row"},
        OddRowCase{"VersionNegative",
                   R"({"key":"service.s","schema_version":-1,"value":""})",
                   "row"},
        OddRowCase{"VersionAbove64Bits",
                   R"({"key":"a","schema_version":1e20,"value":""})", "row"},
        OddRowCase{"VersionIsText",
                   R"({"key":"a","schema_version":"5","value":""})", "row"},
        OddRowCase{"KeyMissing", R"({"schema_version":5,"value":""})", "row"},
        OddRowCase{"KeyIsObject", R"({"key":{},"schema_version":5})", "row"},
        OddRowCase{"RowIsNull", "null", "row"},
        OddRowCase{"RowIsArray", "[]", "row"},
        OddRowCase{"EmptyKey", R"({"key":"","schema_version":5,"value":""})",
                   ""},
        OddRowCase{"UnknownKey", Text(WireRow("other.row", "\xff")), ""},
        OddRowCase{"DocumentIsNoJson", Text(WireRow("service.s", "\xff")),
                   "document"},
        OddRowCase{"DocumentIsNested",
                   Text(WireRow("service.s", std::string(100'000, '['))),
                   "document"},
        OddRowCase{"DocumentOfAnotherService",
                   Text(WireRow("service.s", Document("other"))), "document"},
        OddRowCase{"DocumentVersionNegative",
                   Text(WireRow("service.s", R"({"service":"s","version":-1,)"
                                             R"("change_id":"c","text":"{}",)"
                                             R"("previous_change_id":""})")),
                   "document"},
        OddRowCase{"JoinIsNested",
                   Text(WireRow("join.5", std::string(100'000, '[') +
                                              std::string(100'000, ']'))),
                   "join"},
        OddRowCase{"JoinIsLarge",
                   Text(WireRow("join.5", std::string(500'000, ' '))), "join"},
        OddRowCase{"OddView", Text(WireRow("view", "[1e400,[],[]]")), "view"},
        OddRowCase{"Configuration", Text(WireRow("config", "[[[1e400")),
                   "operators"}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
