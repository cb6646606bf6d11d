#include "services/agent/agent_row_writer.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "libraries/network/http_server.h"
#include "libraries/protocol/agent_row.h"
#include "platform/base64.h"

namespace dandelionspur {
namespace {

using nlohmann::json;
namespace asio = boost::asio;

constexpr std::chrono::milliseconds kLongEnough{100};
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 412;
const Endpoint kAddress{"10.0.0.1", 80};

// A table service with one agent's row.
class AgentRowWriterTest : public testing::Test {
 protected:
  ~AgentRowWriterTest() override { this->threads.Stop(); }

  void SetUp() override {
    OrElse(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(
              bound, HttpServer::Create({"127.0.0.1", 0}, this->threads,
                                        [this](const HttpRequest& request,
                                               const HttpResponder& responder) {
                                          this->Handle(request, responder);
                                        }));
          this->server = std::move(bound);
          return {};
        },
        [](const std::string&) {});
    ASSERT_NE(this->server, nullptr);
    this->table = std::make_unique<TableClient>(
        this->context, Endpoint{"127.0.0.1", this->server->port()});
    this->writer = std::make_unique<AgentRowWriter>(*this->table, kAddress);
  }

  using Call = void (AgentRowWriter::*)(const AgentRowWriter::Callback&);
  // Calls the writer, and returns what it passes.
  std::optional<AddressListing> Passed(Call call) {
    std::optional<AddressListing> passed;
    ((*this->writer).*call)([&](AddressListing listing) { passed = listing; });
    this->context.restart();
    this->context.run_for(kLongEnough);
    return passed;
  }
  [[nodiscard]] bool IsVacant() const {
    const std::optional<AgentRow> row = DecodeAgentRow(this->value);
    return row && row->has_departed;
  }

  // The row; version 0 stands for none.
  std::uint64_t version = 0;
  std::string value;

 private:
  void Handle(const HttpRequest& request, const HttpResponder& responder) {
    const std::string target(request.target());
    if (!target.starts_with("/-/rows-tx")) {
      json rows = json::array();
      if (this->version > 0) {
        rows.push_back({{"key", AgentRowKey(kAddress)},
                        {"schema_version", this->version},
                        {"value", EncodeBase64(this->value)}});
      }
      const json answer{{"schema_version", 9}, {"rows", rows}};
      responder(MakeHttpResponse(kOk, "application/json", answer.dump()));
      return;
    }
    const json body = json::parse(request.body());
    if (body["expected_rev"][0]["schema_version"] != this->version) {
      responder(MakeHttpResponse(kConflict, "application/json", "{}"));
      return;
    }
    ++this->version;
    this->value = *DecodeBase64(body["writes"][0]["value"].get<std::string>());
    responder(MakeHttpResponse(kOk, "application/json", "{}"));
  }

  ThreadGroup threads{1};
  asio::io_context context{1};
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<TableClient> table;
  std::unique_ptr<AgentRowWriter> writer;
};

struct FoundRowCase {
  const char* name;
  std::uint64_t version;
  std::string value;
  AddressListing found;
};

class FoundRowTest : public AgentRowWriterTest,
                     public testing::WithParamInterface<FoundRowCase> {};

// Guards against an agent that takes its address for vacant although tasks of
// an earlier one may run there, and against one that waits for nothing.
TEST_P(FoundRowTest, TellsWhetherAnEarlierAgentMayHaveTasks) {
  this->version = this->GetParam().version;
  this->value = this->GetParam().value;
  EXPECT_EQ(this->Passed(&AgentRowWriter::Check), this->GetParam().found);
  EXPECT_EQ(this->version, this->GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, FoundRowTest,
    testing::Values(FoundRowCase{"None", 0, "", AddressListing::kVacant},
                    FoundRowCase{"Listed", 3, EncodeAgentRow({kAddress, false}),
                                 AddressListing::kListed},
                    FoundRowCase{"Vacant", 3, EncodeAgentRow({kAddress, true}),
                                 AddressListing::kVacant},
                    FoundRowCase{"Odd", 3, "odd", AddressListing::kListed}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a mark that is carried out late, after the agent has claimed
// its address again: the claim changes the row's version.
TEST_F(AgentRowWriterTest, AClaimChangesTheRowInAnyCase) {
  EXPECT_EQ(this->Passed(&AgentRowWriter::Claim), AddressListing::kListed);
  EXPECT_EQ(this->version, 1U);
  EXPECT_EQ(this->Passed(&AgentRowWriter::Claim), AddressListing::kListed);
  EXPECT_EQ(this->version, 2U);
  EXPECT_FALSE(this->IsVacant());
}

TEST_F(AgentRowWriterTest, AMarkIsFoundByTheNextAgent) {
  this->Passed(&AgentRowWriter::Claim);
  EXPECT_EQ(this->Passed(&AgentRowWriter::MarkVacant), AddressListing::kVacant);
  EXPECT_TRUE(this->IsVacant());
  EXPECT_EQ(this->Passed(&AgentRowWriter::Check), AddressListing::kVacant);
}

}  // namespace
}  // namespace dandelionspur
