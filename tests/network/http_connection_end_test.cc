#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "libraries/network/http_server.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono_literals::operator""ms;

constexpr const char* kRequest =
    "POST /job HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
constexpr const char* kLastRequest =
    "POST /job HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Content-Length: 4\r\n\r\nbody";

// A server with one caller, which notes how its connections end.
class ObservedServer {
 public:
  ObservedServer() {
    this->threads = std::make_unique<ThreadGroup>(1);
    HttpServerOptions options;
    options.connection_ended = [this](const HttpConnectionReport& report) {
      this->Note(report);
    };
    this->server = OrElse(
        [&]() -> Result<std::unique_ptr<HttpServer>> {
          return HttpServer::Create(
              {"127.0.0.1", 0}, *this->threads,
              [this](const HttpRequest&, const HttpResponder& responder) {
                this->Handle(responder);
              },
              std::move(options));
        },
        [](const std::string&) { return std::unique_ptr<HttpServer>(); });
    this->caller.emplace(this->context);
    this->caller->connect(
        {asio::ip::address_v4::loopback(), this->server->port()});
  }
  ObservedServer(const ObservedServer&) = delete;
  ObservedServer& operator=(const ObservedServer&) = delete;
  ~ObservedServer() { this->EndServer(); }

  void Send(const std::string& bytes) {
    asio::write(*this->caller, asio::buffer(bytes));
  }
  void CloseCaller() { this->caller.reset(); }
  void Drain() {
    this->server->Drain([] {});
  }
  // Answers each request from now on, and those that wait.
  void Answer() {
    // Destroyed after the lock is released: a responder may be the last owner
    // of its connection, whose end is noted.
    std::vector<HttpResponder> waiting;
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->answers = true;
    waiting.swap(this->held);
    for (const HttpResponder& responder : waiting) {
      responder(MakeHttpResponse(200, "text/plain", "answer"));
    }
  }
  void WaitForRequest() {
    while (this->server->Load().unanswered == 0) {
      std::this_thread::sleep_for(1ms);
    }
  }
  void EndServer() {
    if (!this->threads) return;
    this->threads->Stop();
    this->server.reset();
    this->held.clear();
    this->threads.reset();
  }

  // The first report, or nothing if none comes within some seconds.
  std::optional<HttpConnectionReport> WaitForReport() {
    constexpr int kAttempts = 5000;
    for (int i = 0; i < kAttempts; ++i) {
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->reports.empty()) return this->reports.front();
      }
      std::this_thread::sleep_for(1ms);
    }
    return std::nullopt;
  }

 private:
  void Handle(const HttpResponder& responder) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->answers) {
      responder(MakeHttpResponse(200, "text/plain", "answer"));
    } else {
      this->held.push_back(responder);
    }
  }
  void Note(const HttpConnectionReport& report) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reports.push_back(report);
  }

  std::mutex mutex;
  bool answers = false;
  std::vector<HttpConnectionReport> reports;
  std::vector<HttpResponder> held;
  asio::io_context context;
  std::optional<Tcp::socket> caller;
  std::unique_ptr<ThreadGroup> threads;
  std::unique_ptr<HttpServer> server;
};

struct EndCase {
  std::string name;
  std::function<void(ObservedServer&)> act;
  HttpConnectionEnd end = HttpConnectionEnd::kServerEnded;
  bool unanswered = false;
};

class HttpConnectionEndTest : public testing::TestWithParam<EndCase> {};

// Guards against a request that is cut without a trace: nobody could tell from
// outside why its connection was closed.
TEST_P(HttpConnectionEndTest, IsReported) {
  ObservedServer observed;
  GetParam().act(observed);
  const std::optional<HttpConnectionReport> report = observed.WaitForReport();
  ASSERT_TRUE(report);
  EXPECT_EQ(report->end, GetParam().end);
  EXPECT_EQ(report->unanswered, GetParam().unanswered);
  EXPECT_EQ(report->cuts_request(), GetParam().unanswered);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, HttpConnectionEndTest,
    testing::Values(EndCase{"CallerCloses",
                            [](ObservedServer& on) { on.CloseCaller(); },
                            HttpConnectionEnd::kCallerClosed, false},
                    EndCase{"AnswerWhileDraining",
                            [](ObservedServer& on) {
                              on.Send(kRequest);
                              on.WaitForRequest();
                              on.Drain();
                              on.Answer();
                            },
                            HttpConnectionEnd::kAnswered, false},
                    EndCase{"DrainUnused",
                            [](ObservedServer& on) { on.Drain(); },
                            HttpConnectionEnd::kIdle, false},
                    EndCase{"LastAnswer",
                            [](ObservedServer& on) {
                              on.Answer();
                              on.Send(kLastRequest);
                            },
                            HttpConnectionEnd::kAnswered, false},
                    EndCase{"ServerEndsWithRequest",
                            [](ObservedServer& on) {
                              on.Send(kRequest);
                              on.WaitForRequest();
                              on.EndServer();
                            },
                            HttpConnectionEnd::kServerEnded, true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
