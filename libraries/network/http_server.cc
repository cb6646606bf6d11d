#include "libraries/network/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

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

// One connection of a caller. Everything runs on the socket's io_context.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket connected, std::shared_ptr<HttpHandler> callback)
      : socket(std::move(connected)), handler(std::move(callback)) {}

  void Read() {
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
    (*this->handler)(std::move(request),
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
                 message.keep_alive(self->keep_alive);
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
  std::shared_ptr<HttpHandler> handler;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  HttpResponse response;
  bool keep_alive = true;
  unsigned version = 11;
};

}  // namespace

class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  Listener(ThreadGroup& group, HttpHandler callback)
      : threads(group),
        acceptor(group.First()),
        handler(std::make_shared<HttpHandler>(std::move(callback))) {}

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
            asio::post(executor, [session = std::make_shared<Session>(
                                      std::move(socket), self->handler)] {
              session->Read();
            });
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

  [[nodiscard]] std::uint16_t port() const {
    return this->acceptor.local_endpoint().port();
  }

 private:
  ThreadGroup& threads;
  Tcp::acceptor acceptor;
  std::shared_ptr<HttpHandler> handler;
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

HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

}  // namespace dandelionspur
