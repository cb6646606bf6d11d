#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_ENDPOINT_WATCH_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_ENDPOINT_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

// Asks again and again whether anything listens at an endpoint, until a
// connection is refused. Once is not enough: a process that is being killed
// closes its sockets one after the other, and may still listen when its other
// connections have ended.
class EndpointWatch : public std::enable_shared_from_this<EndpointWatch> {
 public:
  // Calls `on_refused` at most once, on the context.
  static std::shared_ptr<EndpointWatch> Start(boost::asio::io_context& context,
                                              const Endpoint& endpoint,
                                              std::function<void()> on_refused);
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  // From any thread.
  void Stop();

 private:
  EndpointWatch(boost::asio::io_context& thread, const Endpoint& watched,
                std::function<void()> refused);
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
