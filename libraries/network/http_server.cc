#include "libraries/network/http_server.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
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

// What all connections of a server share.
struct Shared {
  HttpHandler handler;
  std::atomic<bool> closing = false;
};

// One connection of a caller. Everything runs on the socket's io_context.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket connected, std::shared_ptr<Shared> common)
      : socket(std::move(connected)), shared(std::move(common)) {}

  void CloseIfIdle() {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      if (self->busy || self->buffer.size() > 0) return;
      // Bytes that are under way would be lost with the connection.
      boost::system::error_code ignored;
      if (self->socket.available(ignored) > 0) return;
      self->socket.close(ignored);
    });
  }

  void Read() {
    this->busy = false;
    this->parser.emplace();
    this->parser->body_limit(kMaximumBody);
    this->parser->header_limit(kMaximumHeader);
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       self->OnRead(error);
                     });
  }

 private:
  void OnRead(boost::system::error_code error) {
    this->busy = true;
    const bool gone = error == http::error::end_of_stream ||
                      error == asio::error::operation_aborted ||
                      error == asio::error::connection_reset ||
                      error == http::error::partial_message;
    if (gone) return;
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
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this(), maker = std::move(make)] {
                 HttpResponse message = maker();
                 message.version(self->version);
                 message.keep_alive(self->keep_alive && !self->shared->closing);
                 self->Write(std::move(message));
               });
  }

  void Write(HttpResponse message) {
    this->response = std::move(message);
    this->response.prepare_payload();
    http::async_write(this->socket, this->response,
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t) {
                        if (error) return;
                        if (self->response.need_eof()) {
                          boost::system::error_code ignored;
                          self->socket.shutdown(Tcp::socket::shutdown_send,
                                                ignored);
                          return;
                        }
                        self->Read();
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
        shared(std::make_shared<Shared>()) {
    this->shared->handler = std::move(callback);
  }

  Result<void> Bind(const Endpoint& endpoint) {
    return BindAcceptor(this->acceptor, endpoint);
  }

  void Accept() {
    this->acceptor.async_accept(
        this->threads.Next(),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          Tcp::socket socket) {
          if (error == asio::error::operation_aborted) return;
          if (!error) {
            boost::system::error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            const auto executor = socket.get_executor();
            const auto session =
                std::make_shared<Session>(std::move(socket), self->shared);
            self->Remember(session);
            asio::post(executor, [session] { session->Read(); });
          }
          self->Accept();
        });
  }

  void Close() {
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
               });
  }

  void CloseAfterAnswers() { this->shared->closing = true; }

  void CloseIdle() {
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 for (const auto& known : self->sessions) {
                   if (const auto session = known.lock()) {
                     session->CloseIfIdle();
                   }
                 }
               });
  }

  [[nodiscard]] std::uint16_t port() const {
    return this->acceptor.local_endpoint().port();
  }

 private:
  // On the acceptor's thread.
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

HttpServer::~HttpServer() { this->StopAccepting(); }

std::uint16_t HttpServer::port() const { return this->listener->port(); }

void HttpServer::StopAccepting() { this->listener->Close(); }

void HttpServer::CloseAfterAnswers() { this->listener->CloseAfterAnswers(); }

void HttpServer::CloseIdle() { this->listener->CloseIdle(); }

HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

}  // namespace dandelionspur
