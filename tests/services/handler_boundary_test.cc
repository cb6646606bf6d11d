#include "services/runtime/handler_boundary.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>

#include "libraries/network/http_client.h"
#include "libraries/network/http_server.h"
#include "services/runtime/message_decoding.h"

namespace dandelionspur {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr unsigned kOk = 200;
constexpr unsigned kInternalError = 500;

HttpResponse Ok() { return MakeHttpResponse(kOk, "text/plain", "done"); }
HttpResponse Thrown() { throw std::runtime_error("no such\nanswer"); }

struct HandlerCase {
  const char* name;
  HttpHandler handler;
  unsigned status;
  int failures;
};

class GuardRequestsTest : public testing::TestWithParam<HandlerCase> {
 protected:
  ~GuardRequestsTest() override { this->threads.Stop(); }

  // Returns the status of each of two requests on one connection.
  std::vector<unsigned> SendTwo() {
    const auto server = OrElse(
        [this] {
          return HttpServer::Create(
              {"127.0.0.1", 0}, this->threads,
              GuardRequests(this->metrics, this->GetParam().handler));
        },
        [](const std::string&) { return std::unique_ptr<HttpServer>(); });
    if (server == nullptr) return {};
    std::vector<unsigned> statuses;
    boost::asio::io_context context{1};
    const auto client =
        HttpClient::Create(context, {"127.0.0.1", server->port()}, 1);
    const auto note = [&](const HttpResult& result) {
      statuses.push_back(result.response.result_int());
    };
    for (int i = 0; i < 2; ++i) {
      client->Send(MakeHttpRequest(boost::beast::http::verb::get, "/", ""),
                   kTimeout, note);
    }
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (statuses.size() < 2 && std::chrono::steady_clock::now() < deadline) {
      context.run_one_for(kTimeout);
    }
    this->threads.Stop();
    return statuses;
  }

  Metrics metrics;
  ThreadGroup threads{1};
};

// Guards against a process that ends, or a caller who waits for ever, because
// the handler of one request throws.
TEST_P(GuardRequestsTest, EachRequestHasOneAnswer) {
  const HandlerCase& tested = this->GetParam();
  EXPECT_EQ(this->SendTwo(),
            (std::vector<unsigned>{tested.status, tested.status}));
  const std::string counter = "handler_failures_total{kind=\"request\"} " +
                              std::to_string(2 * tested.failures) + "\n";
  const bool is_counted =
      this->metrics.SerializeToText().find(counter) != std::string::npos;
  EXPECT_EQ(is_counted, tested.failures > 0);
}

INSTANTIATE_TEST_SUITE_P(
    Handlers, GuardRequestsTest,
    testing::Values(
        HandlerCase{"Answers",
                    [](const HttpRequest&, const HttpResponder& responder) {
                      responder(Ok());
                    },
                    kOk, 0},
        HandlerCase{"Throws",
                    [](const HttpRequest&, const HttpResponder&) {
                      throw std::runtime_error("before the answer");
                    },
                    kInternalError, 1},
        HandlerCase{"ThrowsNoException",
                    [](const HttpRequest&, const HttpResponder&) { throw 1; },
                    kInternalError, 1},
        HandlerCase{"ThrowsAfterItsAnswer",
                    [](const HttpRequest&, const HttpResponder& responder) {
                      responder(Ok());
                      throw std::runtime_error("after the answer");
                    },
                    kOk, 1},
        HandlerCase{"ThrowsWhereItsAnswerIsBuilt",
                    [](const HttpRequest&, const HttpResponder& responder) {
                      responder.Defer(Thrown);
                    },
                    kInternalError, 1}),
    [](const auto& tested) { return std::string(tested.param.name); });

class HandlerKindTest : public testing::TestWithParam<HandlerKind> {};

TEST_P(HandlerKindTest, WhatAHandlerThrowsIsCounted) {
  Metrics metrics;
  const HandlerBoundary boundary(metrics);
  EXPECT_EQ(boundary.Run(this->GetParam(), [] {}), HandlerOutcome::kCompleted);
  EXPECT_EQ(boundary.Run(this->GetParam(), [] { throw std::bad_alloc(); }),
            HandlerOutcome::kThrew);
  EXPECT_NE(metrics.SerializeToText().find("handler_failures_total{kind="),
            std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Kinds, HandlerKindTest,
                         testing::Values(HandlerKind::kRequest,
                                         HandlerKind::kRow,
                                         HandlerKind::kUpstreamOrder,
                                         HandlerKind::kUpstreamAnswer));

struct ThrowingCodec {
  template <typename Message>
  static Result<Message> FromMessagePack(std::string_view /*bytes*/) {
    throw std::length_error("frame");
  }
};

// Guards against a process that ends because one frame can't be decoded.
TEST(DecodeMessageTest, WhatDecodingThrowsMakesAnInvalidFrame) {
  EXPECT_EQ((DecodeMessage<int, ThrowingCodec>("x")), std::nullopt);
}

}  // namespace
}  // namespace dandelionspur
