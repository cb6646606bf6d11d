#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CLIENT_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/network/http_server.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// The outcome of a request at the connection level.
enum class HttpProgress {
  // The whole response was received.
  kAnswered,
  // Nothing was sent, so the server has certainly not received the request.
  kNotSent,
  // Like kNotSent; the server's host refused the connection or reset it.
  kConnectionRefused,
  // The connection failed or timed out after sending began; the server may
  // have received the request.
  kUnknown,
};

struct HttpResult {
  HttpProgress progress = HttpProgress::kNotSent;
  HttpResponse response;
};

using HttpCallback = std::function<void(HttpResult)>;

// Sends HTTP requests to one endpoint over a pool of persistent connections of
// limited size. A request is queued while all connections are busy. Everything
// runs on one io_context, on whose thread Send must be called.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  static std::shared_ptr<HttpClient> Create(boost::asio::io_context& context,
                                            const Endpoint& endpoint,
                                            std::size_t connections);

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Calls `callback` exactly once. `timeout` applies to sending the request and
  // receiving the response, not to the time in the queue or to connecting.
  void Send(HttpRequest request, Duration timeout, HttpCallback callback);

 private:
  class Connection;
  struct PendingRequest {
    HttpRequest request;
    Duration timeout;
    HttpCallback callback;
  };

  HttpClient(boost::asio::io_context& executor, const Endpoint& endpoint,
             std::size_t connections);
  void StartNext();
  void OnIdle(const std::shared_ptr<Connection>& connection);
  void OnDisconnected();

  boost::asio::io_context& context;
  Endpoint target;
  std::size_t maximum_connections;
  std::size_t open_connections = 0;
  std::vector<std::shared_ptr<Connection>> idle;
  std::deque<PendingRequest> pending;
};

HttpRequest MakeHttpRequest(boost::beast::http::verb verb,
                            const std::string& path, std::string body);
// A POST whose body is JSON. The texts in `body` must be UTF-8; nothing but
// that can be written as JSON.
HttpRequest MakeJsonRequest(const std::string& path,
                            const nlohmann::json& body);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CLIENT_H_
