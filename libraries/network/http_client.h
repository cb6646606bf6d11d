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

// How far a request got.
enum class HttpProgress {
  // The whole response is here.
  kAnswered,
  // Nothing was sent, so the other side has certainly not received it.
  kNotSent,
  // The connection failed or timed out after the request began to go out.
  kUnknown,
};

struct HttpResult {
  HttpProgress progress = HttpProgress::kNotSent;
  HttpResponse response;
};

using HttpCallback = std::function<void(HttpResult)>;

// Requests to one endpoint over at most a given number of connections, which
// are kept open. A request waits in line while all are busy. Everything runs
// on one io_context, from where Send must be called.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  static std::shared_ptr<HttpClient> Create(boost::asio::io_context& context,
                                            const Endpoint& endpoint,
                                            std::size_t connections);

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Calls `callback` exactly once.
  void Send(HttpRequest request, Duration timeout, HttpCallback callback);

 private:
  class Connection;
  struct Waiting {
    HttpRequest request;
    Duration timeout;
    HttpCallback callback;
  };

  HttpClient(boost::asio::io_context& executor, const Endpoint& endpoint,
             std::size_t connections);
  void StartNext();
  void OnIdle(const std::shared_ptr<Connection>& connection);
  void OnBroken();

  boost::asio::io_context& context;
  Endpoint target;
  std::size_t maximum_connections;
  std::size_t open_connections = 0;
  std::vector<std::shared_ptr<Connection>> idle;
  std::deque<Waiting> waiting;
};

HttpRequest MakeHttpRequest(boost::beast::http::verb verb,
                            const std::string& path, std::string body);
// A POST whose body is JSON.
HttpRequest MakeJsonRequest(const std::string& path,
                            const nlohmann::json& body);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CLIENT_H_
