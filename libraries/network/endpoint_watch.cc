#include "libraries/network/endpoint_watch.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "libraries/network/bind_acceptor.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

// Between two attempts; what a killed process needs to close its sockets.
constexpr std::chrono::milliseconds kInterval{250};
// An attempt without an answer is given up, as the other side may be frozen
// or without power, and come back.
constexpr std::chrono::milliseconds kLongestAttempt{1000};

}  // namespace

std::shared_ptr<EndpointWatch> EndpointWatch::Start(
    asio::io_context& context, const Endpoint& endpoint,
    std::function<void()> on_refused) {
  std::shared_ptr<EndpointWatch> watch(
      new EndpointWatch(context, endpoint, std::move(on_refused)));
  asio::post(context, [watch] { watch->Probe(); });
  return watch;
}

EndpointWatch::EndpointWatch(asio::io_context& thread, const Endpoint& watched,
                             std::function<void()> refused)
    : context(thread),
      endpoint(watched),
      on_refused(std::move(refused)),
      socket(thread),
      timer(thread) {}

void EndpointWatch::Stop() {
  asio::post(this->context, [self = this->shared_from_this()] {
    self->stopped = true;
    self->timer.cancel();
    boost::system::error_code ignored;
    self->socket.close(ignored);
  });
}

void EndpointWatch::Probe() {
  if (this->stopped) return;
  this->timer.expires_after(kLongestAttempt);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error) return;
        // Ends the attempt.
        boost::system::error_code ignored;
        self->socket.close(ignored);
      });
  this->socket.async_connect(
      ToTcpEndpoint(this->endpoint),
      [self = this->shared_from_this()](boost::system::error_code error) {
        boost::system::error_code ignored;
        self->socket.close(ignored);
        if (self->stopped) return;
        if (error != asio::error::connection_refused) {
          self->ProbeLater();
          return;
        }
        self->stopped = true;
        self->timer.cancel();
        self->on_refused();
      });
}

void EndpointWatch::ProbeLater() {
  this->timer.expires_after(kInterval);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->Probe();
      });
}

}  // namespace dandelionspur
