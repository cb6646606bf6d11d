#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CONNECTION_END_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CONNECTION_END_H_

#include <boost/describe.hpp>
#include <functional>

#include "libraries/base/time.h"

namespace dandelionspur {

// Why a server's connection has ended.
// kCallerClosed: the caller has closed it, or it was reset.
// kIdle: the server drains, and no request had come in.
// kAnswered: after a response that announced it, or after the last response of
// a server that drains.
// kWriteFailed: a response could not be written.
// kLimit: the caller exceeded a limit of the server: HttpLimits.
// kServerEnded: the server ended while the connection was open.
BOOST_DEFINE_ENUM_CLASS(HttpConnectionEnd, kCallerClosed, kIdle, kAnswered,
                        kWriteFailed, kLimit, kServerEnded)

// What a connection that has ended owed its caller.
struct HttpConnectionReport {
  HttpConnectionEnd end = HttpConnectionEnd::kServerEnded;
  // A request was read whose response has not been written completely.
  bool unanswered = false;
  // Bytes of the caller had arrived that were not passed to the handler.
  bool unread = false;
  // Since the last request was read; 0 if there was none.
  Duration since_request{};

  [[nodiscard]] bool cuts_request() const {
    return this->unanswered || this->unread;
  }
};

// Called on one of the server's threads, or on the one that destroys them.
using HttpConnectionObserver = std::function<void(const HttpConnectionReport&)>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_CONNECTION_END_H_
