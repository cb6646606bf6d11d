#include "libraries/network/endpoint_watch.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "libraries/network/bind_acceptor.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;

// A killed process needs about this long to close its sockets.
constexpr std::chrono::milliseconds kProbeInterval{250};
// Limits one connection attempt: a host that is frozen or powered off doesn't
// answer, and may come back.
constexpr std::chrono::milliseconds kConnectTimeout{1000};

}  // namespace

std::shared_ptr<EndpointWatch> EndpointWatch::Start(
    asio::io_context& context, const Endpoint& endpoint,
    std::function<void()> on_refused) {
  std::shared_ptr<EndpointWatch> watch(
      new EndpointWatch(context, endpoint, std::move(on_refused)));
  asio::post(context, [watch] { watch->Probe(); });
  return watch;
}

EndpointWatch::EndpointWatch(asio::io_context& io_context,
                             const Endpoint& watched_endpoint,
                             std::function<void()> refusal_callback)
    : context(io_context),
      endpoint(watched_endpoint),
      on_refused(std::move(refusal_callback)),
      socket(io_context),
      timer(io_context) {}

void EndpointWatch::Stop() {
  asio::post(this->context, [self = this->shared_from_this()] {
    self->stopped = true;
    self->timer.cancel();
    boost::system::error_code ignored;
    self->socket.close(ignored);
  });
}

void EndpointWatch::Probe() {
  // An endpoint from another process may be invalid, and then never refuses.
  if (this->stopped || !IsReachable(this->endpoint)) return;
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error) return;
        // Aborts the connection attempt.
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
  this->timer.expires_after(kProbeInterval);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->Probe();
      });
}

}  // namespace dandelionspur
