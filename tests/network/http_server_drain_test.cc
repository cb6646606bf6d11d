#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libraries/network/http_server.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using std::chrono_literals::operator""ms;

constexpr std::chrono::seconds kLongWait{5};
constexpr const char* kRequest =
    "POST /job HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";

// A caller's connection.
class Caller {
 public:
  explicit Caller(std::uint16_t port) {
    this->socket.connect({asio::ip::address_v4::loopback(), port});
  }

  void Send(const std::string& bytes) {
    asio::write(this->socket, asio::buffer(bytes));
  }

  // Returns the next response, or nothing if the connection closes without one.
  std::optional<HttpResponse> Receive() {
    HttpResponse response;
    boost::system::error_code error;
    http::read(this->socket, this->buffer, response, error);
    if (error) return std::nullopt;
    return response;
  }

 private:
  asio::io_context context;
  Tcp::socket socket{this->context};
  boost::beast::flat_buffer buffer;
};

// A server on one thread. Its handler answers immediately or, without
// `answers_at_once`, holds requests until Answer is called.
class HttpServerDrainTest : public testing::Test {
 protected:
  ~HttpServerDrainTest() override { this->threads.Stop(); }

  void Start() {
    auto created = OrElse(
        [&]() -> Result<std::unique_ptr<HttpServer>> {
          return HttpServer::Create(
              {"127.0.0.1", 0}, this->threads,
              [this](const HttpRequest&, const HttpResponder& responder) {
                this->Handle(responder);
              });
        },
        [](const std::string&) { return std::unique_ptr<HttpServer>(); });
    this->server = std::move(created);
    ASSERT_NE(this->server, nullptr);
  }

  void Handle(const HttpResponder& responder) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->held_requests.push_back(responder);
    if (this->answers_at_once) this->AnswerHeldRequests();
  }

  void Answer() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->AnswerHeldRequests();
  }

  void AnswerHeldRequests() {
    for (const HttpResponder& responder : this->held_requests) {
      responder(MakeHttpResponse(200, "text/plain", "answer"));
    }
    this->held_requests.clear();
  }

  // Waits until the handler holds an unanswered request.
  void WaitForRequest() {
    while (!this->HasHeldRequest()) std::this_thread::sleep_for(1ms);
  }

  bool HasHeldRequest() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return !this->held_requests.empty();
  }

  // Blocks the server's thread until the returned promise is fulfilled.
  std::promise<void> BlockThread() {
    std::promise<void> release;
    asio::post(this->threads.First(),
               [released = release.get_future().share()] { released.wait(); });
    return release;
  }

  void Drain() {
    this->server->Drain([this] { this->drained.set_value(); });
  }

  bool IsDrainedWithin(std::chrono::milliseconds time) {
    return this->is_drained.wait_for(time) == std::future_status::ready;
  }

  bool answers_at_once = true;
  std::mutex mutex;
  std::vector<HttpResponder> held_requests;
  std::promise<void> drained;
  std::future<void> is_drained = this->drained.get_future();
  ThreadGroup threads{1};
  std::unique_ptr<HttpServer> server;
};

// Guards against requests that are lost because the listen queue is discarded.
TEST_F(HttpServerDrainTest, AnswersConnectionsInTheListenQueue) {
  this->Start();
  std::promise<void> release = this->BlockThread();
  this->Drain();
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 50; ++i) {
    callers.push_back(std::make_unique<Caller>(this->server->port()));
    callers.back()->Send(kRequest);
  }
  release.set_value();
  for (const auto& caller : callers) {
    const auto response = caller->Receive();
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->keep_alive());
  }
  EXPECT_TRUE(this->IsDrainedWithin(kLongWait));
}

// Guards against requests that are lost because a connection is closed before
// they are read from its socket.
TEST_F(HttpServerDrainTest, AnswersUnreadRequests) {
  this->Start();
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 50; ++i) {
    callers.push_back(std::make_unique<Caller>(this->server->port()));
    callers.back()->Send(kRequest);
    ASSERT_TRUE(callers.back()->Receive());
  }
  std::promise<void> release = this->BlockThread();
  this->Drain();
  for (const auto& caller : callers) caller->Send(kRequest);
  release.set_value();
  for (const auto& caller : callers) {
    const auto response = caller->Receive();
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->keep_alive());
  }
  EXPECT_TRUE(this->IsDrainedWithin(kLongWait));
}

// Guards against pipelined requests that are lost because the response to an
// earlier one closes the connection.
TEST_F(HttpServerDrainTest, OnlyTheLastAnswerCloses) {
  this->answers_at_once = false;
  this->Start();
  Caller caller(this->server->port());
  caller.Send(std::string(kRequest) + kRequest);
  this->WaitForRequest();
  this->Drain();
  this->Answer();
  const auto first = caller.Receive();
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->keep_alive());
  this->WaitForRequest();
  this->Answer();
  const auto second = caller.Receive();
  ASSERT_TRUE(second);
  EXPECT_FALSE(second->keep_alive());
  EXPECT_TRUE(this->IsDrainedWithin(kLongWait));
}

// Guards against a process that exits while responses are outstanding.
TEST_F(HttpServerDrainTest, IsNotDrainedBeforeTheLastAnswer) {
  this->answers_at_once = false;
  this->Start();
  Caller caller(this->server->port());
  caller.Send(kRequest);
  this->WaitForRequest();
  this->Drain();
  EXPECT_FALSE(this->IsDrainedWithin(300ms));
  EXPECT_EQ(this->server->Load().connections, 1U);
  EXPECT_EQ(this->server->Load().unanswered, 1U);
  this->Answer();
  EXPECT_TRUE(caller.Receive());
  EXPECT_TRUE(this->IsDrainedWithin(kLongWait));
}

// Guards against a connection that is closed in the middle of a request.
TEST_F(HttpServerDrainTest, WaitsForTheRestOfARequest) {
  this->Start();
  Caller caller(this->server->port());
  const std::string request = kRequest;
  caller.Send(request.substr(0, request.size() - 1));
  std::this_thread::sleep_for(100ms);
  this->Drain();
  EXPECT_FALSE(this->IsDrainedWithin(300ms));
  caller.Send(request.substr(request.size() - 1));
  EXPECT_TRUE(caller.Receive());
  EXPECT_TRUE(this->IsDrainedWithin(kLongWait));
}

// Guards against idle connections that delay a graceful shutdown.
TEST_F(HttpServerDrainTest, ClosesIdleConnections) {
  this->Start();
  Caller unused(this->server->port());
  Caller used(this->server->port());
  used.Send(kRequest);
  ASSERT_TRUE(used.Receive());
  this->Drain();
  EXPECT_TRUE(this->IsDrainedWithin(kLongWait));
  EXPECT_FALSE(unused.Receive());
  EXPECT_FALSE(used.Receive());
}

}  // namespace
}  // namespace dandelionspur
