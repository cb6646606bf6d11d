#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_ENDPOINT_WATCH_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_ENDPOINT_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

// Connects to an endpoint repeatedly until a connection is refused: either no
// process listens there, or a network partition refuses connections. One
// attempt is not enough: a process that is being killed closes its sockets one
// after the other, and may still listen after its other connections have
// closed.
class EndpointWatch : public std::enable_shared_from_this<EndpointWatch> {
 public:
  // `on_refused` is called at most once, on `context`'s thread.
  static std::shared_ptr<EndpointWatch> Start(boost::asio::io_context& context,
                                              const Endpoint& endpoint,
                                              std::function<void()> on_refused);
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  // Ends the attempts. May be called from any thread; `on_refused` may still be
  // called until the context has processed the stop.
  void Stop();

 private:
  EndpointWatch(boost::asio::io_context& io_context,
                const Endpoint& watched_endpoint,
                std::function<void()> refusal_callback);
  void Probe();
  void ProbeLater();

  boost::asio::io_context& context;
  Endpoint endpoint;
  std::function<void()> on_refused;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  bool stopped = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_ENDPOINT_WATCH_H_
