#include "libraries/network/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "libraries/network/arriving_body.h"
#include "libraries/network/socket_liveness.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t kMaximumResponseBytes = 64ULL * 1024 * 1024;
// A response's header, a chunk's size and extension, and the trailer each have
// to fit into the read buffer.
constexpr std::size_t kMaximumBufferBytes = 64UL * 1024;
// A larger buffer is freed once it is empty between two responses.
constexpr std::size_t kRetainedBufferBytes = 4096;
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

bool IsRefusal(const boost::system::error_code& error) {
  return error == asio::error::connection_refused ||
         error == asio::error::connection_reset;
}

}  // namespace

// A connection, which runs one request at a time.
class HttpClient::Connection
    : public std::enable_shared_from_this<HttpClient::Connection> {
 public:
  Connection(asio::io_context& io_context, std::shared_ptr<HttpClient> owner)
      : stream(io_context), client(std::move(owner)) {}

  // Whether the server has closed this idle connection or sent unexpected data.
  [[nodiscard]] bool IsStale() {
    char byte = 0;
    boost::system::error_code error;
    this->stream.socket().non_blocking(true, error);
    this->stream.socket().receive(asio::buffer(&byte, 1),
                                  Tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  void Run(PendingRequest pending_request) {
    this->current = std::move(pending_request);
    if (this->connected) {
      this->Write();
      return;
    }
    const Endpoint& remote = this->client->target;
    if (!IsReachable(remote)) {
      asio::post(this->stream.get_executor(),
                 [self = this->shared_from_this()] {
                   self->Fail(HttpProgress::kNotSent);
                 });
      return;
    }
    this->stream.expires_after(kConnectTimeout);
    this->stream.async_connect(
        Tcp::endpoint(asio::ip::make_address(remote.address), remote.port),
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (error) {
            self->Fail(IsRefusal(error) ? HttpProgress::kConnectionRefused
                                        : HttpProgress::kNotSent);
            return;
          }
          PrepareSocket(self->stream.socket(), kInternalLiveness);
          self->connected = true;
          self->Write();
        });
  }

 private:
  void Write() {
    this->stream.expires_after(this->current.timeout);
    http::async_write(this->stream, this->current.request,
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t) {
                        if (error) {
                          self->Fail(HttpProgress::kUnknown);
                          return;
                        }
                        self->Read();
                      });
  }

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(kMaximumResponseBytes);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       if (error) {
                         self->Fail(HttpProgress::kUnknown);
                         return;
                       }
                       self->Finish();
                     });
  }

  void Finish() {
    http::response<ArrivingBody> message = this->parser->release();
    HttpResult result{
        HttpProgress::kAnswered,
        HttpResponse(std::move(message.base()), message.body().Take())};
    const bool oversized = this->buffer.size() == 0 &&
                           this->buffer.capacity() > kRetainedBufferBytes;
    if (oversized) this->buffer.shrink_to_fit();
    const bool reusable = result.response.keep_alive();
    const HttpCallback callback = std::move(this->current.callback);
    this->stream.expires_never();
    if (reusable) {
      this->client->OnIdle(this->shared_from_this());
    } else {
      this->Disconnect();
    }
    callback(std::move(result));
  }

  void Fail(HttpProgress progress) {
    const HttpCallback callback = std::move(this->current.callback);
    this->Disconnect();
    callback(HttpResult{progress, {}});
  }

  void Disconnect() {
    this->stream.close();
    this->client->OnDisconnected();
  }

  beast::tcp_stream stream;
  std::shared_ptr<HttpClient> client;
  beast::flat_buffer buffer{kMaximumBufferBytes};
  std::optional<http::response_parser<ArrivingBody>> parser;
  PendingRequest current;
  bool connected = false;
};

std::shared_ptr<HttpClient> HttpClient::Create(asio::io_context& context,
                                               const Endpoint& endpoint,
                                               std::size_t connections) {
  return std::shared_ptr<HttpClient>(
      new HttpClient(context, endpoint, connections));
}

HttpClient::HttpClient(asio::io_context& executor, const Endpoint& endpoint,
                       std::size_t connections)
    : context(executor), target(endpoint), maximum_connections(connections) {}

void HttpClient::Send(HttpRequest request, Duration timeout,
                      HttpCallback callback) {
  request.set(http::field::host, this->target.address);
  request.prepare_payload();
  this->pending.push_back({std::move(request), timeout, std::move(callback)});
  this->StartNext();
}

void HttpClient::StartNext() {
  while (!this->pending.empty()) {
    std::shared_ptr<Connection> connection;
    while (!this->idle.empty() && connection == nullptr) {
      connection = std::move(this->idle.back());
      this->idle.pop_back();
      if (!connection->IsStale()) continue;
      connection.reset();
      --this->open_connections;
    }
    if (connection == nullptr) {
      if (this->open_connections >= this->maximum_connections) return;
      ++this->open_connections;
      connection =
          std::make_shared<Connection>(this->context, this->shared_from_this());
    }
    PendingRequest next = std::move(this->pending.front());
    this->pending.pop_front();
    connection->Run(std::move(next));
  }
}

void HttpClient::OnIdle(const std::shared_ptr<Connection>& connection) {
  this->idle.push_back(connection);
  // Posted, so that the callback of the completed request runs first.
  asio::post(this->context,
             [self = this->shared_from_this()] { self->StartNext(); });
}

void HttpClient::OnDisconnected() {
  --this->open_connections;
  asio::post(this->context,
             [self = this->shared_from_this()] { self->StartNext(); });
}

HttpRequest MakeHttpRequest(http::verb verb, const std::string& path,
                            std::string body) {
  constexpr unsigned kHttp11 = 11;
  HttpRequest request{verb, path, kHttp11};
  request.body() = std::move(body);
  return request;
}

HttpRequest MakeJsonRequest(const std::string& path,
                            const nlohmann::json& body) {
  HttpRequest request = MakeHttpRequest(http::verb::post, path, body.dump());
  request.set(http::field::content_type, "application/json");
  return request;
}

}  // namespace dandelionspur
