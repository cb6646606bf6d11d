#include "libraries/network/http_session.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <utility>

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
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

}  // namespace

HttpSession::HttpSession(Tcp::socket connected,
                         std::shared_ptr<HttpServerState> common)
    : socket(std::move(connected)), shared(std::move(common)) {
  this->shared->Acquire();
  ++this->shared->connections;
}

HttpSession::~HttpSession() {
  this->shared->observer(this->Report());
  this->MarkAnswered();
  --this->shared->connections;
  this->shared->Release();
}

HttpConnectionReport HttpSession::Report() {
  HttpConnectionReport report{
      this->end, this->busy, this->HasUnhandledBytes(), {}};
  if (this->request_read_at) {
    report.since_request = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - *this->request_read_at);
  }
  return report;
}

void HttpSession::CloseIfIdle() {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    boost::system::error_code ignored;
    if (!self->busy) self->socket.cancel(ignored);
  });
}

void HttpSession::Read() {
  this->PrepareParser();
  this->AwaitRequest();
}

bool HttpSession::HasUnhandledBytes() {
  if (this->buffer.size() > 0) return true;
  const bool partly_read =
      !this->busy && this->parser && this->parser->got_some();
  if (partly_read) return true;
  boost::system::error_code ignored;
  return this->socket.available(ignored) > 0;
}

void HttpSession::PrepareParser() {
  this->parser.emplace();
  this->parser->body_limit(kMaximumBodyBytes);
  this->parser->header_limit(kMaximumHeaderBytes);
}

void HttpSession::AwaitRequest() {
  http::async_read(
      this->socket, this->buffer, *this->parser,
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t) { self->OnRead(error); });
}

void HttpSession::ReadNext() {
  this->PrepareParser();
  if (this->shared->draining && !this->HasUnhandledBytes()) {
    this->end = HttpConnectionEnd::kAnswered;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    return;
  }
  this->AwaitRequest();
}

void HttpSession::MarkUnanswered() {
  this->busy = true;
  ++this->shared->unanswered;
}

void HttpSession::MarkAnswered() {
  if (!this->busy) return;
  this->busy = false;
  --this->shared->unanswered;
}

void HttpSession::OnRead(boost::system::error_code error) {
  if (error == asio::error::operation_aborted) {
    if (this->HasUnhandledBytes()) {
      this->AwaitRequest();
    } else {
      this->end = HttpConnectionEnd::kIdle;
    }
    return;
  }
  const bool disconnected = error == http::error::end_of_stream ||
                            error == asio::error::connection_reset ||
                            error == http::error::partial_message;
  if (disconnected) {
    this->end = HttpConnectionEnd::kCallerClosed;
    return;
  }
  this->MarkUnanswered();
  this->request_read_at = std::chrono::steady_clock::now();
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

void HttpSession::Respond(HttpResponseFactory make) {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                           maker = std::move(make)] {
    HttpResponse message = maker();
    message.version(self->version);
    const bool closes = self->shared->closing && !self->HasUnhandledBytes();
    message.keep_alive(self->keep_alive && !closes);
    self->Write(std::move(message));
  });
}

void HttpSession::Write(HttpResponse message) {
  this->response = std::move(message);
  this->response.prepare_payload();
  http::async_write(this->socket, this->response,
                    [self = this->shared_from_this()](
                        boost::system::error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void HttpSession::OnWritten(boost::system::error_code error) {
  if (error) {
    this->end = HttpConnectionEnd::kWriteFailed;
    return;
  }
  this->MarkAnswered();
  this->parser.reset();
  if (this->response.need_eof()) {
    this->end = HttpConnectionEnd::kAnswered;
    boost::system::error_code ignored;
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    return;
  }
  this->ReadNext();
}

}  // namespace dandelionspur
