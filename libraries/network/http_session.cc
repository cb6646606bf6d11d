#include "libraries/network/http_session.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr unsigned kRequestTimeout = 408;
// What a refused caller may still send before its connection is closed.
constexpr std::size_t kLingerBytes = 262'144;
constexpr std::size_t kLingerReadBytes = 8192;

asio::ip::address PeerOf(const Tcp::socket& socket) {
  boost::system::error_code ended;
  return socket.remote_endpoint(ended).address();
}

}  // namespace

HttpSession::HttpSession(Tcp::socket connected,
                         std::shared_ptr<HttpServerState> common)
    : socket(std::move(connected)),
      shared(std::move(common)),
      caller(PeerOf(this->socket)),
      reader(this->shared->limits) {
  this->shared->Acquire();
  ++this->shared->connections;
}

HttpSession::~HttpSession() {
  this->Hold(0);
  this->shared->observer(this->Report());
  this->MarkAnswered();
  --this->shared->connections;
  this->shared->Release();
}

HttpConnectionReport HttpSession::Report() {
  HttpConnectionReport report{
      this->end, this->busy, !this->refused && this->HasUnhandledBytes(), {}};
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

void HttpSession::EndFor(HttpLimit reached) {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                           reached] { self->EndNow(reached); });
}

void HttpSession::EndNow(HttpLimit reached) {
  switch (this->state.phase()) {
    case HttpSessionPhase::kHandling:
    case HttpSessionPhase::kEnding:
      return;
    case HttpSessionPhase::kIdle:
      if (this->HasUnhandledBytes()) return;
      break;
    case HttpSessionPhase::kReading:
      if (reached != HttpLimit::kRequestTime) break;
      this->shared->limit_reached(reached);
      this->Refuse(kRequestTimeout);
      return;
    case HttpSessionPhase::kLingering:
      this->Close(HttpConnectionEnd::kAnswered);
      return;
    case HttpSessionPhase::kWriting:
      break;
  }
  this->shared->limit_reached(reached);
  this->Close(HttpConnectionEnd::kLimit);
}

void HttpSession::Close(HttpConnectionEnd cause) {
  this->end = cause;
  this->state.Enter(HttpSessionPhase::kEnding);
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void HttpSession::Hold(std::size_t bytes) {
  const std::size_t before = this->state.held.exchange(bytes);
  if (bytes == before) return;
  // Wraps around where it falls, as the total does.
  const std::size_t total = this->shared->held += bytes - before;
  const bool grows = bytes > before;
  if (grows && total > this->shared->limits.held_bytes) {
    this->shared->relieve();
  }
}

void HttpSession::Read() { this->ReadMore(); }

bool HttpSession::HasUnhandledBytes() {
  if (this->reader.HasBytes()) return true;
  boost::system::error_code ignored;
  return this->socket.available(ignored) > 0;
}

void HttpSession::ReadMore() {
  this->socket.async_read_some(
      this->reader.Room(),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t received) {
        self->OnRead(error, received);
      });
}

void HttpSession::ReadNext() {
  this->state.Enter(HttpSessionPhase::kIdle);
  if (this->shared->draining && !this->HasUnhandledBytes()) {
    this->Close(HttpConnectionEnd::kAnswered);
    return;
  }
  this->Proceed();
}

void HttpSession::MarkUnanswered() {
  this->busy = true;
  ++this->shared->unanswered;
  this->request_read_at = std::chrono::steady_clock::now();
}

void HttpSession::MarkAnswered() {
  if (!this->busy) return;
  this->busy = false;
  --this->shared->unanswered;
}

void HttpSession::OnRead(boost::system::error_code error,
                         std::size_t received) {
  if (this->refused || this->state.phase() == HttpSessionPhase::kEnding) return;
  if (error == asio::error::operation_aborted) {
    this->OnCancelled();
    return;
  }
  if (error) {
    this->end = HttpConnectionEnd::kCallerClosed;
    return;
  }
  this->reader.Add(received);
  this->Proceed();
}

void HttpSession::OnCancelled() {
  if (this->HasUnhandledBytes()) {
    this->ReadMore();
  } else {
    this->end = HttpConnectionEnd::kIdle;
  }
}

void HttpSession::Proceed() {
  switch (this->reader.Parse()) {
    case HttpReadState::kComplete:
      this->HandleRequest();
      return;
    case HttpReadState::kRefused:
      if (const auto limit = this->reader.exceeded()) {
        this->shared->limit_reached(*limit);
      }
      this->Refuse(this->reader.refusal_status());
      return;
    case HttpReadState::kIncomplete:
      break;
  }
  if (this->reader.HasBytes()) {
    this->Hold(this->reader.held_bytes());
    if (this->state.phase() == HttpSessionPhase::kIdle) {
      this->state.Enter(HttpSessionPhase::kReading);
    }
  }
  this->ReadMore();
}

void HttpSession::HandleRequest() {
  this->Hold(0);
  this->MarkUnanswered();
  this->state.Enter(HttpSessionPhase::kHandling);
  HttpRequest request = this->reader.Take();
  this->keep_alive = request.keep_alive();
  this->version = request.version();
  if (this->shared->unanswered > this->shared->limits.requests) {
    this->shared->limit_reached(HttpLimit::kRequests);
    this->Respond(
        [refusal = this->shared->refuse_overload(request)] { return refusal; });
    return;
  }
  this->shared->handler(std::move(request),
                        HttpResponder([self = this->shared_from_this()](
                                          HttpResponseFactory make) {
                          self->Respond(std::move(make));
                        }));
}

void HttpSession::Refuse(unsigned status) {
  this->refused = true;
  this->MarkUnanswered();
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
  HttpResponse refusal = MakeHttpResponse(status, "application/problem+json",
                                          R"({"verdict":"not_run",)"
                                          R"("reason":"malformed_request"})");
  refusal.keep_alive(false);
  this->Write(std::move(refusal));
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
  this->state.Enter(HttpSessionPhase::kWriting);
  this->Hold(this->response.body().size());
  http::async_write(this->socket, this->response,
                    [self = this->shared_from_this()](
                        boost::system::error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void HttpSession::OnWritten(boost::system::error_code error) {
  if (this->state.phase() == HttpSessionPhase::kEnding) return;
  if (error) {
    this->end = HttpConnectionEnd::kWriteFailed;
    return;
  }
  this->MarkAnswered();
  const bool last = this->response.need_eof();
  this->response = {};
  this->Hold(0);
  if (!last) {
    this->ReadNext();
    return;
  }
  this->end = HttpConnectionEnd::kAnswered;
  boost::system::error_code ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  if (!this->refused) return;
  this->state.Enter(HttpSessionPhase::kLingering);
  this->response.body().resize(kLingerReadBytes);
  this->Linger();
}

void HttpSession::Linger() {
  std::string& discarded = this->response.body();
  this->socket.async_read_some(
      asio::buffer(discarded),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t received) {
        self->lingered += received;
        if (!error && self->lingered < kLingerBytes) self->Linger();
      });
}

}  // namespace dandelionspur
