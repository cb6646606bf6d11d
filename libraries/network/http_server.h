#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "libraries/base/error.h"
#include "libraries/network/http_connection_end.h"
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
};

// An HTTP/1.1 server with keep-alive. A request that is malformed or too long
// is answered with 400, 413 or 431 and not passed to the handler.
class HttpServer {
 public:
  // Fails if the endpoint can't be bound. `threads` must outlive the server,
  // and what `observer` uses must outlive `threads`.
  static Result<std::unique_ptr<HttpServer>> Create(
      const Endpoint& endpoint, ThreadGroup& threads, HttpHandler handler,
      HttpConnectionObserver observer = [](const HttpConnectionReport&) {});

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
