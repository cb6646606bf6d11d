#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "libraries/base/error.h"
#include "libraries/network/thread_group.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Builds a response.
using HttpResponseFactory = std::function<HttpResponse()>;

// Sends the response to one request. Must be used once, from any thread.
class HttpResponder {
 public:
  explicit HttpResponder(std::function<void(HttpResponseFactory)> sender)
      : send(std::move(sender)) {}

  void operator()(HttpResponse response) const {
    this->send([made = std::move(response)] { return made; });
  }
  // Builds the response on the connection's thread.
  void Defer(HttpResponseFactory make) const { this->send(std::move(make)); }

 private:
  std::function<void(HttpResponseFactory)> send;
};

// Called on one of the server's threads.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// The number of open connections and unanswered requests of a server.
struct HttpServerLoad {
  std::size_t connections = 0;
  // Requests that were read completely and whose response has not been written
  // completely.
  std::size_t unanswered = 0;
};

// An HTTP/1.1 server with keep-alive. A request that is malformed or too long
// is answered with 400, 413 or 431 and not passed to the handler.
class HttpServer {
 public:
  // Fails if the endpoint can't be bound. `threads` must outlive the
  // server.
  static Result<std::unique_ptr<HttpServer>> Create(const Endpoint& endpoint,
                                                    ThreadGroup& threads,
                                                    HttpHandler handler);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  [[nodiscard]] std::uint16_t port() const;
  // From now on, closes each connection after a response unless more bytes have
  // been received on it, so that callers connect to another server.
  void CloseAfterAnswers();
  // Accepts the connections in the listen queue and then stops listening. Each
  // connection closes once all requests received on it are answered. Calls
  // `drained` once, on one of the server's threads, when no connection is left;
  // never after the server has been destroyed.
  void Drain(std::function<void()> drained);
  // May be called from any thread.
  [[nodiscard]] HttpServerLoad Load() const;

 private:
  class Listener;

  explicit HttpServer(std::shared_ptr<Listener> bound);

  std::shared_ptr<Listener> listener;
};

// Builds a response with a body of the given media type.
HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_
