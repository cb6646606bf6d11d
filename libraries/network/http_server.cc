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

constexpr std::uint64_t kMaximumBodyBytes = 16ULL * 1024 * 1024;
constexpr std::uint32_t kMaximumHeaderBytes = 16U * 1024;

unsigned StatusFor(const boost::system::error_code& error) {
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kBodyTooLarge = 413;
  constexpr unsigned kHeaderTooLarge = 431;
  if (error == http::error::body_limit) return kBodyTooLarge;
  if (error == http::error::header_limit) return kHeaderTooLarge;
  return kBadRequest;
}

// How long the first request of the connection accepted last may still be in
// transit when the server drains. Idle connections are closed again after this.
constexpr std::chrono::milliseconds kFirstRequestTimeout{200};

// The state that the listener and all connections of a server share.
class ServerState {
 public:
  explicit ServerState(HttpHandler callback) : handler(std::move(callback)) {}

  // The listener and each connection hold a reference; the server is drained
  // when the last one is released.
  void Acquire() { ++this->references; }
  void Release() {
    if (--this->references == 0 && !this->owner_destroyed) this->drained();
  }

  const HttpHandler handler;
  // Set when connections are to close after a response.
  std::atomic<bool> closing = false;
  // Set when connections are to close once idle.
  std::atomic<bool> draining = false;
  // Set before the listener releases its reference.
  std::function<void()> drained = [] {};
  // Set when the HttpServer has been destroyed; `drained` must not be called
  // then.
  std::atomic<bool> owner_destroyed = false;
  std::atomic<std::size_t> connections = 0;
  std::atomic<std::size_t> unanswered = 0;

 private:
  // Starts with the listener's reference.
  std::atomic<std::size_t> references = 1;
};

// One caller's connection. Everything runs on the socket's io_context.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket connected, std::shared_ptr<ServerState> common)
      : socket(std::move(connected)), shared(std::move(common)) {
    this->shared->Acquire();
    ++this->shared->connections;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() {
    this->MarkAnswered();
    --this->shared->connections;
    this->shared->Release();
  }

  // Closes the connection unless a request is being handled on it. Cancels the
  // pending read instead of closing the socket, so that bytes that the read has
  // already received are not lost: OnRead reads on if there are any.
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
  // Whether at least part of a request has been received that was not passed to
  // the handler yet. It would be lost if the connection were closed.
  [[nodiscard]] bool HasUnhandledBytes() {
    if (this->buffer.size() > 0) return true;
    const bool partly_read =
        !this->busy && this->parser && this->parser->got_some();
    if (partly_read) return true;
    boost::system::error_code ignored;
    return this->socket.available(ignored) > 0;
  }

  void PrepareParser() {
    this->parser.emplace();
    this->parser->body_limit(kMaximumBodyBytes);
    this->parser->header_limit(kMaximumHeaderBytes);
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
    if (this->shared->draining && !this->HasUnhandledBytes()) {
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
      if (this->HasUnhandledBytes()) this->AwaitRequest();
      return;
    }
    const bool disconnected = error == http::error::end_of_stream ||
                              error == asio::error::connection_reset ||
                              error == http::error::partial_message;
    if (disconnected) return;
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
                                            HttpResponseFactory make) {
                            self->Respond(std::move(make));
                          }));
  }

  void Respond(HttpResponseFactory make) {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                             maker = std::move(make)] {
      HttpResponse message = maker();
      message.version(self->version);
      const bool closes = self->shared->closing && !self->HasUnhandledBytes();
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
  std::shared_ptr<ServerState> shared;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  HttpResponse response;
  bool keep_alive = true;
  // Whether a request is being handled or its response written.
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
        shared(std::make_shared<ServerState>(std::move(callback))) {}

  Result<void> Bind(const Endpoint& endpoint) {
    return BindAcceptor(this->acceptor, endpoint);
  }

  void Accept() {
    this->acceptor.async_accept(
        this->threads.Next(),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          Tcp::socket socket) {
          if (!error) self->Serve(std::move(socket));
          // The acceptor may have been closed after this connection was
          // accepted.
          if (self->acceptor.is_open()) {
            self->Accept();
          } else {
            self->shared->Release();
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
                 self->AcceptPending();
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
                 self->CloseIdleLater();
               });
  }

  // Closes the acceptor because the HttpServer is being destroyed; `drained` is
  // not called any more.
  void Detach() {
    this->shared->owner_destroyed = true;
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
  // The functions below run on the acceptor's thread.
  void Serve(Tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto executor = socket.get_executor();
    const auto session =
        std::make_shared<Session>(std::move(socket), this->shared);
    this->TrackSession(session);
    asio::post(executor, [session] { session->Read(); });
  }

  // Accepts the connections in the listen queue: their callers' connects have
  // already succeeded.
  void AcceptPending() {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      Tcp::socket socket(this->threads.Next());
      this->acceptor.accept(socket, error);
      if (!error) this->Serve(std::move(socket));
    }
  }

  void CloseIdle() {
    for (const auto& tracked : this->sessions) {
      if (const auto session = tracked.lock()) session->CloseIfIdle();
    }
  }

  void CloseIdleLater() {
    this->idle_timer.expires_after(kFirstRequestTimeout);
    this->idle_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (!error) self->CloseIdle();
        });
  }

  void TrackSession(const std::shared_ptr<Session>& session) {
    constexpr std::size_t kPruneMargin = 64;
    if (this->sessions.size() >= 2 * this->live_sessions + kPruneMargin) {
      std::erase_if(this->sessions,
                    [](const auto& tracked) { return tracked.expired(); });
      this->live_sessions = this->sessions.size();
    }
    this->sessions.push_back(session);
  }

  ThreadGroup& threads;
  Tcp::acceptor acceptor;
  asio::steady_timer idle_timer;
  std::shared_ptr<ServerState> shared;
  std::vector<std::weak_ptr<Session>> sessions;
  // The size of `sessions` after expired ones were last removed.
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

HttpServer::~HttpServer() { this->listener->Detach(); }

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
