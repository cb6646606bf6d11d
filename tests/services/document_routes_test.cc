#include "services/entry/document_routes.h"

#include <gtest/gtest.h>

#include <optional>

#include "libraries/network/http_client.h"

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

struct PutCase {
  const char* name;
  std::string query;
  std::string body;
  // A part of the answer's detail; empty: the change is passed on.
  std::string problem;
};

class DocumentPutTest : public testing::TestWithParam<PutCase> {
 protected:
  // Returns the answer; nothing if the change was passed on to the table.
  std::optional<HttpResponse> Put(const PutCase& tested) {
    std::optional<HttpResponse> answer;
    DocumentRoutes routes(this->serving, this->watcher);
    routes.Handle(
        {"s", "document"},
        MakeHttpRequest(http::verb::put,
                        "/v1/services/s/document?" + tested.query, tested.body),
        HttpResponder(
            [&](const HttpResponseFactory& make) { answer = make(); }));
    return answer;
  }

  boost::asio::io_context context{1};
  Metrics metrics;
  PublishedServingState serving;
  TableWatcher watcher{EntrySettings(), ViewMember(), this->context,
                       this->metrics, [](const EntryEvent&) {}};
};

// Guards against an entry that ends by an exception, since the id of a change
// is stored within JSON.
TEST_P(DocumentPutTest, IsRefusedUnlessItCanBeStored) {
  const PutCase& tested = this->GetParam();
  const std::optional<HttpResponse> answer = this->Put(tested);
  ASSERT_EQ(answer.has_value(), !tested.problem.empty());
  if (!answer) return;
  EXPECT_EQ(answer->result(), http::status::bad_request);
  EXPECT_NE(answer->body().find(tested.problem), std::string::npos)
      << answer->body();
}

const char* const kDocument = R"({"service": "s", "owner": "o"})";

INSTANTIATE_TEST_SUITE_P(
    Puts, DocumentPutTest,
    testing::Values(PutCase{"Sound", "base_version=0&change_id=c", kDocument,
                            ""},
                    PutCase{"IdIsNoText", "base_version=0&change_id=\xff",
                            kDocument, "change_id must be UTF-8"},
                    PutCase{"IdMissing", "base_version=0", kDocument,
                            "change_id and base_version are required"},
                    PutCase{"DocumentIsNoText", "base_version=0&change_id=c",
                            "\xff", "not valid JSON"}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
