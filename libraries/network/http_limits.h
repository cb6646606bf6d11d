#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_LIMITS_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_LIMITS_H_

#include <boost/describe.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

#include "libraries/base/time.h"

namespace dandelionspur {

// What an HTTP server lets its callers make it hold. The defaults exceed what
// any caller needs whose requests this software serves.
struct HttpLimits {
  // The request line and the header fields of a request.
  std::uint32_t header_bytes = 16U * 1024;
  std::uint64_t body_bytes = 16ULL * 1024 * 1024;
  // What a request has beside its header and body: the chunks' sizes and
  // extensions, and the trailer. One of these has to fit into the read buffer
  // too: HttpRequestReader.
  std::uint64_t framing_bytes = 1024ULL * 1024;
  // From a request's first byte to its last.
  Duration request_time = std::chrono::seconds(120);
  // From an answer's first byte to its last.
  Duration answer_time = std::chrono::seconds(120);
  // What all connections together hold of unfinished requests and of answers.
  // Must exceed `body_bytes`.
  std::uint64_t held_bytes = 256ULL * 1024 * 1024;
  // Connections at a time.
  std::size_t connections = 65'536;
  // Connections whose requests are in work at a time. The others are closed
  // where connections run short, so that new callers get in.
  std::size_t requests = std::numeric_limits<std::size_t>::max();
  auto operator<=>(const HttpLimits&) const = default;
};

// The limit for which a connection was closed or a request refused.
// kHeld: all connections together held too much, and this one the most of them.
// kConnections: there were too many connections, or too few descriptors.
// kRequests: too many requests were in work.
BOOST_DEFINE_ENUM_CLASS(HttpLimit, kHeader, kBody, kFraming, kRequestTime,
                        kAnswerTime, kHeld, kConnections, kRequests)

// Called on any of the server's threads.
using HttpLimitObserver = std::function<void(HttpLimit)>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_LIMITS_H_
