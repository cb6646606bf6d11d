#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_STATE_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_STATE_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

#include "libraries/network/http_connection_end.h"
#include "libraries/network/http_limits.h"
#include "libraries/network/http_messages.h"

namespace dandelionspur {

// The state that the listener and all connections of a server share.
class HttpServerState {
 public:
  HttpServerState(HttpHandler callback,
                  HttpConnectionObserver connection_observer,
                  const HttpLimits& configured, HttpLimitObserver reached,
                  HttpRefusal overload)
      : handler(std::move(callback)),
        observer(std::move(connection_observer)),
        limits(configured),
        limit_reached(std::move(reached)),
        refuse_overload(std::move(overload)) {}

  // The listener and each connection hold a reference; the server is drained
  // when the last one is released.
  void Acquire() { ++this->references; }
  void Release() {
    if (--this->references == 0 && !this->owner_destroyed) this->drained();
  }

  const HttpHandler handler;
  const HttpConnectionObserver observer;
  const HttpLimits limits;
  const HttpLimitObserver limit_reached;
  const HttpRefusal refuse_overload;
  // Set when connections are to close after a response.
  std::atomic<bool> closing = false;
  // Set when connections are to close once idle.
  std::atomic<bool> draining = false;
  // Set before the listener releases its reference.
  std::function<void()> drained = [] {};
  // Makes room when the connections hold too much. Set before the first
  // connection; may be called on any of the server's threads.
  std::function<void()> relieve = [] {};
  // Set when the HttpServer has been destroyed; `drained` must not be called
  // then.
  std::atomic<bool> owner_destroyed = false;
  std::atomic<std::size_t> connections = 0;
  std::atomic<std::size_t> unanswered = 0;
  // What the connections hold of unfinished requests and of answers, in bytes.
  std::atomic<std::size_t> held = 0;

 private:
  // Starts with the listener's reference.
  std::atomic<std::size_t> references = 1;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SERVER_STATE_H_
