#include "libraries/network/http_server.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/network/bind_acceptor.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t kMaximumBody = 16ULL * 1024 * 1024;
constexpr std::uint32_t kMaximumHeader = 16U * 1024;

unsigned StatusFor(const boost::system::error_code& error) {
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kBodyTooLarge = 413;
  constexpr unsigned kHeaderTooLarge = 431;
  if (error == http::error::body_limit) return kBodyTooLarge;
  if (error == http::error::header_limit) return kHeaderTooLarge;
  return kBadRequest;
}

// After the last connection was accepted, its first request may still be under
// way for this long.
constexpr std::chrono::milliseconds kFirstRequestWait{200};

// What all connections of a server share.
class Shared {
 public:
  explicit Shared(HttpHandler callback) : handler(std::move(callback)) {}

  // The listener and each connection keep the server from being drained.
  void Enter() { ++this->holders; }
  void Leave() {
    if (--this->holders == 0 && !this->abandoned) this->drained();
  }

  const HttpHandler handler;
  // Connections close after an answer.
  std::atomic<bool> closing = false;
  // Connections close when they are idle.
  std::atomic<bool> draining = false;
  // Set before the listener leaves.
  std::function<void()> drained = [] {};
  // The owner is gone; nobody waits for the drain any more.
  std::atomic<bool> abandoned = false;
  std::atomic<std::size_t> connections = 0;
  std::atomic<std::size_t> unanswered = 0;

 private:
  // The listener is the first.
  std::atomic<std::size_t> holders = 1;
};

// One connection of a caller. Everything runs on the socket's io_context.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket connected, std::shared_ptr<Shared> common)
      : socket(std::move(connected)), shared(std::move(common)) {
    this->shared->Enter();
    ++this->shared->connections;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() {
    this->MarkAnswered();
    --this->shared->connections;
    this->shared->Leave();
  }

  // Closes the connection unless a request is under way on it. Bytes that the
  // pending read has taken already are not given up with it.
  void CloseIfIdle() {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      boost::system::error_code ignored;
      if (!self->busy) self->socket.cancel(ignored);
    });
  }

  void Read() {
    this->PrepareParser();
    this->AwaitRequest();
  }

 private:
  // Whether a request has come in, in part at least, that nobody handles yet.
  // It would be lost with the connection.
  [[nodiscard]] bool HasUnread() {
    if (this->buffer.size() > 0) return true;
    const bool partly_read =
        !this->busy && this->parser && this->parser->got_some();
    if (partly_read) return true;
    boost::system::error_code ignored;
    return this->socket.available(ignored) > 0;
  }

  void PrepareParser() {
    this->parser.emplace();
    this->parser->body_limit(kMaximumBody);
    this->parser->header_limit(kMaximumHeader);
  }

  void AwaitRequest() {
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       self->OnRead(error);
                     });
  }

  void ReadNext() {
    this->PrepareParser();
    if (this->shared->draining && !this->HasUnread()) {
      boost::system::error_code ignored;
      this->socket.close(ignored);
      return;
    }
    this->AwaitRequest();
  }

  void MarkUnanswered() {
    this->busy = true;
    ++this->shared->unanswered;
  }

  void MarkAnswered() {
    if (!this->busy) return;
    this->busy = false;
    --this->shared->unanswered;
  }

  void OnRead(boost::system::error_code error) {
    if (error == asio::error::operation_aborted) {
      if (this->HasUnread()) this->AwaitRequest();
      return;
    }
    const bool gone = error == http::error::end_of_stream ||
                      error == asio::error::connection_reset ||
                      error == http::error::partial_message;
    if (gone) return;
    this->MarkUnanswered();
    if (error) {
      HttpResponse refusal =
          MakeHttpResponse(StatusFor(error), "application/problem+json",
                           R"({"verdict":"not_run",)"
                           R"("reason":"malformed_request"})");
      refusal.keep_alive(false);
      this->Write(std::move(refusal));
      return;
    }
    HttpRequest request = this->parser->release();
    this->keep_alive = request.keep_alive();
    this->version = request.version();
    this->shared->handler(std::move(request),
                          HttpResponder([self = this->shared_from_this()](
                                            HttpResponseMaker make) {
                            self->Respond(std::move(make));
                          }));
  }

  void Respond(HttpResponseMaker make) {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                             maker = std::move(make)] {
      HttpResponse message = maker();
      message.version(self->version);
      const bool closes = self->shared->closing && !self->HasUnread();
      message.keep_alive(self->keep_alive && !closes);
      self->Write(std::move(message));
    });
  }

  void Write(HttpResponse message) {
    this->response = std::move(message);
    this->response.prepare_payload();
    http::async_write(this->socket, this->response,
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t) {
                        self->MarkAnswered();
                        if (error) return;
                        if (self->response.need_eof()) {
                          boost::system::error_code ignored;
                          self->socket.shutdown(Tcp::socket::shutdown_send,
                                                ignored);
                          return;
                        }
                        self->ReadNext();
                      });
  }

  Tcp::socket socket;
  std::shared_ptr<Shared> shared;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  HttpResponse response;
  bool keep_alive = true;
  // A request is being handled or answered.
  bool busy = false;
  unsigned version = 11;
};

}  // namespace

class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  Listener(ThreadGroup& group, HttpHandler callback)
      : threads(group),
        acceptor(group.First()),
        idle_timer(group.First()),
        shared(std::make_shared<Shared>(std::move(callback))) {}

  Result<void> Bind(const Endpoint& endpoint) {
    return BindAcceptor(this->acceptor, endpoint);
  }

  void Accept() {
    this->acceptor.async_accept(
        this->threads.Next(),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          Tcp::socket socket) {
          if (!error) self->Serve(std::move(socket));
          // A connection may have been accepted just before the close.
          if (self->acceptor.is_open()) {
            self->Accept();
          } else {
            self->shared->Leave();
          }
        });
  }

  void CloseAfterAnswers() { this->shared->closing = true; }

  void Drain(std::function<void()> drained) {
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this(), done = std::move(drained)] {
                 if (!self->acceptor.is_open()) return;
                 self->shared->drained = done;
                 self->shared->closing = true;
                 self->shared->draining = true;
                 self->CloseIdle();
                 self->AcceptWaiting();
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
                 self->CloseIdleLater();
               });
  }

  // The server's end; nobody is told of it.
  void Abandon() {
    this->shared->abandoned = true;
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
               });
  }

  [[nodiscard]] HttpServerLoad Load() const {
    return {this->shared->connections, this->shared->unanswered};
  }

  [[nodiscard]] std::uint16_t port() const {
    return this->acceptor.local_endpoint().port();
  }

 private:
  // The rest runs on the acceptor's thread.
  void Serve(Tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto executor = socket.get_executor();
    const auto session =
        std::make_shared<Session>(std::move(socket), this->shared);
    this->Remember(session);
    asio::post(executor, [session] { session->Read(); });
  }

  // Their callers take them for accepted.
  void AcceptWaiting() {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      Tcp::socket socket(this->threads.Next());
      this->acceptor.accept(socket, error);
      if (!error) this->Serve(std::move(socket));
    }
  }

  void CloseIdle() {
    for (const auto& known : this->sessions) {
      if (const auto session = known.lock()) session->CloseIfIdle();
    }
  }

  void CloseIdleLater() {
    this->idle_timer.expires_after(kFirstRequestWait);
    this->idle_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (!error) self->CloseIdle();
        });
  }

  void Remember(const std::shared_ptr<Session>& session) {
    constexpr std::size_t kSweepAbove = 64;
    if (this->sessions.size() >= 2 * this->live_sessions + kSweepAbove) {
      std::erase_if(this->sessions,
                    [](const auto& known) { return known.expired(); });
      this->live_sessions = this->sessions.size();
    }
    this->sessions.push_back(session);
  }

  ThreadGroup& threads;
  Tcp::acceptor acceptor;
  asio::steady_timer idle_timer;
  std::shared_ptr<Shared> shared;
  std::vector<std::weak_ptr<Session>> sessions;
  // At the last sweep.
  std::size_t live_sessions = 0;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(const Endpoint& endpoint,
                                                       ThreadGroup& threads,
                                                       HttpHandler handler) {
  auto listener = std::make_shared<Listener>(threads, std::move(handler));
  BOOST_LEAF_CHECK(listener->Bind(endpoint));
  listener->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
}

HttpServer::HttpServer(std::shared_ptr<Listener> bound)
    : listener(std::move(bound)) {}

HttpServer::~HttpServer() { this->listener->Abandon(); }

std::uint16_t HttpServer::port() const { return this->listener->port(); }

void HttpServer::CloseAfterAnswers() { this->listener->CloseAfterAnswers(); }

void HttpServer::Drain(std::function<void()> drained) {
  this->listener->Drain(std::move(drained));
}

HttpServerLoad HttpServer::Load() const { return this->listener->Load(); }

HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

}  // namespace dandelionspur
