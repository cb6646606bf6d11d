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

// Makes a response.
using HttpResponseMaker = std::function<HttpResponse()>;

// Answers one request; used once, from any thread.
class HttpResponder {
 public:
  explicit HttpResponder(std::function<void(HttpResponseMaker)> sender)
      : send(std::move(sender)) {}

  void operator()(HttpResponse response) const {
    this->send([made = std::move(response)] { return made; });
  }
  // Has the response made on the connection's thread.
  void Defer(HttpResponseMaker make) const { this->send(std::move(make)); }

 private:
  std::function<void(HttpResponseMaker)> send;
};

// Called on one of the server's threads.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// What a server has open.
struct HttpServerLoad {
  std::size_t connections = 0;
  // Requests that were read whole and are not answered wholly.
  std::size_t unanswered = 0;
};

// Serves HTTP/1.1 with keep-alive. A request that is not HTTP or too long is
// answered with 400, 413 or 431 and never reaches the handler.
class HttpServer {
 public:
  // Fails where the endpoint can't be bound. `threads` must outlive the
  // server.
  static Result<std::unique_ptr<HttpServer>> Create(const Endpoint& endpoint,
                                                    ThreadGroup& threads,
                                                    HttpHandler handler);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  [[nodiscard]] std::uint16_t port() const;
  // From now on a connection closes after an answer if nothing more has come
  // in on it, so that callers turn to another server.
  void CloseAfterAnswers();
  // Takes in the connections that wait to be accepted and then listens no
  // more. Each connection closes as soon as all that came in on it is
  // answered. Calls back once, on one of the server's threads, when none is
  // left; never after the server's end.
  void Drain(std::function<void()> drained);
  // From any thread.
  [[nodiscard]] HttpServerLoad Load() const;

 private:
  class Listener;

  explicit HttpServer(std::shared_ptr<Listener> bound);

  std::shared_ptr<Listener> listener;
};

// A response with a body of the given type.
HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_
