#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "libraries/base/error.h"
#include "libraries/network/http_connection_end.h"
#include "libraries/network/http_limits.h"
#include "libraries/network/http_messages.h"
#include "libraries/network/thread_group.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// The number of open connections and unanswered requests of a server.
struct HttpServerLoad {
  std::size_t connections = 0;
  // Requests that were read completely and whose response has not been written
  // completely.
  std::size_t unanswered = 0;
  // What connections hold of unfinished requests and of answers, in bytes.
  std::size_t held = 0;
};

// What a server is told of its connections, and the bounds that it keeps them
// in. What the functions use must outlive the server's threads.
struct HttpServerOptions {
  HttpConnectionObserver connection_ended = [](const HttpConnectionReport&) {};
  HttpLimits limits;
  HttpLimitObserver limit_reached = [](HttpLimit) {};
  // Answers a request that isn't passed to the handler, since too many are in
  // work.
  HttpRefusal refuse_overload = RefuseOverload;
};

// An HTTP/1.1 server with keep-alive. A request that is malformed, too long or
// too slow is answered with 400, 408, 413 or 431 and not passed to the handler;
// its connection closes. So do connections without an answer: those that hold
// the most when all together hold too much; those that leave an answer unread
// for too long; and those that have been idle for the longest when there are
// too many, or too few descriptors, first of the caller's address with the
// most. A connection whose request is being handled stays.
class HttpServer {
 public:
  // Fails if the endpoint can't be bound. `threads` must outlive the server.
  static Result<std::unique_ptr<HttpServer>> Create(
      const Endpoint& endpoint, ThreadGroup& threads, HttpHandler handler,
      HttpServerOptions options = {});

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

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_
