#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libraries/network/http_server.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono_literals::operator""ms;

constexpr std::size_t kLargeAnswerBytes = 32'000'000;

// A server that answers each request at once and notes the limits that its
// callers reach.
class LimitedServer {
 public:
  explicit LimitedServer(const HttpLimits& limits) {
    HttpServerOptions options;
    options.limits = limits;
    options.limit_reached = [this](HttpLimit limit) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->reached.push_back(limit);
    };
    this->server = OrElse(
        [&]() -> Result<std::unique_ptr<HttpServer>> {
          return HttpServer::Create(
              {"127.0.0.1", 0}, this->threads,
              [](const HttpRequest& request, const HttpResponder& responder) {
                const bool large = request.target() == "/large";
                responder(MakeHttpResponse(
                    200, "text/plain",
                    large ? std::string(kLargeAnswerBytes, 'a') : "answer"));
              },
              std::move(options));
        },
        [](const std::string&) { return std::unique_ptr<HttpServer>(); });
  }
  LimitedServer(const LimitedServer&) = delete;
  LimitedServer& operator=(const LimitedServer&) = delete;
  ~LimitedServer() { this->threads.Stop(); }

  Tcp::socket Connect() {
    Tcp::socket caller(this->context);
    caller.connect({asio::ip::address_v4::loopback(), this->server->port()});
    return caller;
  }
  // Waits until a limit has been reached; returns all so far.
  std::vector<HttpLimit> WaitForLimit() {
    constexpr int kAttempts = 10'000;
    for (int i = 0; i < kAttempts; ++i) {
      std::vector<HttpLimit> now = this->Reached();
      if (!now.empty()) return now;
      std::this_thread::sleep_for(1ms);
    }
    return {};
  }
  std::vector<HttpLimit> Reached() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->reached;
  }
  // Waits until no connection is left.
  bool WaitForEnd() {
    constexpr int kAttempts = 10'000;
    for (int i = 0; i < kAttempts; ++i) {
      const HttpServerLoad load = this->server->Load();
      if (load.connections == 0) return load.held == 0;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }

 private:
  std::mutex mutex;
  std::vector<HttpLimit> reached;
  asio::io_context context;
  ThreadGroup threads{1};
  std::unique_ptr<HttpServer> server;
};

// Sends as much as the server takes.
void SendTo(Tcp::socket& caller, const std::string& bytes) {
  boost::system::error_code closed;
  asio::write(caller, asio::buffer(bytes), closed);
}

// Reads until the server closes the connection; returns the status of the first
// answer, or 0.
int StatusFrom(Tcp::socket& caller) {
  std::string answer;
  boost::system::error_code closed;
  asio::read(caller, asio::dynamic_buffer(answer), closed);
  constexpr std::size_t kStatusAt = 9;
  return answer.size() > kStatusAt ? std::stoi(answer.substr(kStatusAt)) : 0;
}

HttpLimits SmallLimits() {
  HttpLimits limits;
  limits.header_bytes = 4096;
  limits.body_bytes = 1'000'000;
  limits.framing_bytes = 16'384;
  limits.request_time = std::chrono::milliseconds(100);
  limits.answer_time = std::chrono::milliseconds(100);
  limits.held_bytes = 500'000;
  limits.connections = 4;
  return limits;
}

std::string Repeated(const std::string& piece, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += piece;
  return text;
}

const std::string kChunked =
    "POST /job HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

struct LimitCase {
  const char* name;
  std::string sent;
  HttpLimit limit;
  // 0: the connection closes without an answer.
  int status;
};

class HttpLimitsTest : public testing::TestWithParam<LimitCase> {};

// Guards against a caller that makes a process hold memory or a connection
// without end.
TEST_P(HttpLimitsTest, EndsAConnection) {
  LimitedServer server(SmallLimits());
  Tcp::socket caller = server.Connect();
  SendTo(caller, GetParam().sent);
  EXPECT_EQ(server.WaitForLimit(), std::vector<HttpLimit>{GetParam().limit});
  if (GetParam().status != 0) {
    EXPECT_EQ(StatusFrom(caller), GetParam().status);
  }
  caller.close();
  EXPECT_TRUE(server.WaitForEnd());
}

INSTANTIATE_TEST_SUITE_P(
    Limits, HttpLimitsTest,
    testing::Values(
        LimitCase{"HeaderLines",
                  "GET / HTTP/1.1\r\n" + Repeated("field: value\r\n", 2000),
                  HttpLimit::kHeader, 431},
        LimitCase{"EndlessLine", "GET /" + std::string(20'000, 'v'),
                  HttpLimit::kHeader, 431},
        LimitCase{"AnnouncedBody",
                  "POST / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n",
                  HttpLimit::kBody, 413},
        LimitCase{"ChunkedBody", kChunked + "f4241\r\n", HttpLimit::kBody, 413},
        LimitCase{"Extension", kChunked + "4;e=" + std::string(50'000, 'v'),
                  HttpLimit::kFraming, 413},
        LimitCase{
            "Extensions",
            kChunked +
                Repeated("1;e=" + std::string(1000, 'v') + "\r\nb\r\n", 50),
            HttpLimit::kFraming, 413},
        LimitCase{"Trailer",
                  kChunked + "1\r\nb\r\n0\r\n" + Repeated("f: value\r\n", 9000),
                  HttpLimit::kFraming, 413},
        LimitCase{"SlowHeader", "GET / HTTP/1.1\r\n", HttpLimit::kRequestTime,
                  408},
        LimitCase{"SlowBody", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nb",
                  HttpLimit::kRequestTime, 408},
        LimitCase{"SlowTrailer", kChunked + "0\r\nf: value\r\n",
                  HttpLimit::kRequestTime, 408},
        LimitCase{"UnreadAnswer", "GET /large HTTP/1.1\r\n\r\n",
                  HttpLimit::kAnswerTime, 0},
        LimitCase{"HeldBody",
                  "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" +
                      std::string(900'000, 'b'),
                  HttpLimit::kHeld, 0}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against callers that hold so many connections that nobody else gets
// one.
TEST(HttpConnectionLimitTest, ANewCallerIsServedBesideIdleOnes) {
  LimitedServer server(SmallLimits());
  constexpr int kIdleCallers = 20;
  std::vector<Tcp::socket> idle;
  idle.reserve(kIdleCallers);
  for (int i = 0; i < kIdleCallers; ++i) idle.push_back(server.Connect());
  Tcp::socket caller = server.Connect();
  SendTo(caller, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(StatusFrom(caller), 200);
  const std::vector<HttpLimit> reached = server.WaitForLimit();
  EXPECT_EQ(static_cast<std::size_t>(std::count(reached.begin(), reached.end(),
                                                HttpLimit::kConnections)),
            reached.size());
  idle.clear();
  caller.close();
  EXPECT_TRUE(server.WaitForEnd());
}

// A server that answers no request until it is told to.
class HoldingServer {
 public:
  explicit HoldingServer(const HttpLimits& limits) {
    HttpServerOptions options;
    options.limits = limits;
    this->server = OrElse(
        [&]() -> Result<std::unique_ptr<HttpServer>> {
          return HttpServer::Create(
              {"127.0.0.1", 0}, this->threads,
              [this](const HttpRequest&, const HttpResponder& responder) {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->held.push_back(responder);
              },
              std::move(options));
        },
        [](const std::string&) { return std::unique_ptr<HttpServer>(); });
  }
  HoldingServer(const HoldingServer&) = delete;
  HoldingServer& operator=(const HoldingServer&) = delete;
  ~HoldingServer() { this->threads.Stop(); }

  Tcp::socket Connect() {
    Tcp::socket caller(this->context);
    caller.connect({asio::ip::address_v4::loopback(), this->server->port()});
    return caller;
  }
  // Waits until so many requests are held.
  bool WaitForHeld(std::size_t count) {
    constexpr int kAttempts = 10'000;
    for (int i = 0; i < kAttempts; ++i) {
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->held.size() == count) return true;
      }
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }
  void AnswerAll() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const HttpResponder& responder : this->held) {
      responder(MakeHttpResponse(200, "text/plain", "answer"));
    }
    this->held.clear();
  }

 private:
  std::mutex mutex;
  std::vector<HttpResponder> held;
  asio::io_context context;
  ThreadGroup threads{1};
  std::unique_ptr<HttpServer> server;
};

// Guards against a server that is closed to all others while the requests of a
// crowd are in work.
TEST(RequestsInWorkTest, AreLimitedSoThatNewCallersGetAnAnswer) {
  constexpr std::size_t kInWork = 3;
  const std::string request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  HttpLimits limits = SmallLimits();
  limits.requests = kInWork;
  HoldingServer server(limits);
  std::vector<Tcp::socket> crowd;
  for (std::size_t i = 0; i < kInWork; ++i) {
    crowd.push_back(server.Connect());
    SendTo(crowd.back(), request);
  }
  ASSERT_TRUE(server.WaitForHeld(kInWork));
  constexpr int kNewCallers = 10;
  for (int i = 0; i < kNewCallers; ++i) {
    Tcp::socket caller = server.Connect();
    SendTo(caller, request);
    EXPECT_EQ(StatusFrom(caller), 503);
  }
  server.AnswerAll();
  for (Tcp::socket& caller : crowd) EXPECT_EQ(StatusFrom(caller), 200);
  Tcp::socket later = server.Connect();
  SendTo(later, request);
  ASSERT_TRUE(server.WaitForHeld(1));
  server.AnswerAll();
  EXPECT_EQ(StatusFrom(later), 200);
}

}  // namespace
}  // namespace dandelionspur
