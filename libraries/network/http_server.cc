#include "libraries/network/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "libraries/network/bind_acceptor.h"
#include "libraries/network/http_session.h"
#include "libraries/network/socket_liveness.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// How long the first request of the connection accepted last may still be in
// transit when the server drains. Idle connections are closed again after this.
constexpr std::chrono::milliseconds kFirstRequestTimeout{200};

}  // namespace

class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  Listener(ThreadGroup& group, HttpHandler callback,
           HttpConnectionObserver observer)
      : threads(group),
        acceptor(group.First()),
        idle_timer(group.First()),
        shared(std::make_shared<HttpServerState>(std::move(callback),
                                                 std::move(observer))) {}

  Result<void> Bind(const Endpoint& endpoint) {
    return BindAcceptor(this->acceptor, endpoint);
  }

  void Accept() {
    this->acceptor.async_accept(
        this->threads.Next(),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          Tcp::socket socket) {
          if (!error) self->Serve(std::move(socket));
          // The acceptor may have been closed after this connection was
          // accepted.
          if (self->acceptor.is_open()) {
            self->Accept();
          } else {
            self->shared->Release();
          }
        });
  }

  void CloseAfterAnswers() { this->shared->closing = true; }

  void Drain(std::function<void()> drained) {
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this(), done = std::move(drained)] {
                 if (!self->acceptor.is_open()) return;
                 self->shared->drained = done;
                 self->shared->closing = true;
                 self->shared->draining = true;
                 self->CloseIdle();
                 self->AcceptPending();
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
                 self->CloseIdleLater();
               });
  }

  // Closes the acceptor because the HttpServer is being destroyed; `drained` is
  // not called any more.
  void Detach() {
    this->shared->owner_destroyed = true;
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
               });
  }

  [[nodiscard]] HttpServerLoad Load() const {
    return {this->shared->connections, this->shared->unanswered};
  }

  [[nodiscard]] std::uint16_t port() const {
    return this->acceptor.local_endpoint().port();
  }

 private:
  // The functions below run on the acceptor's thread.
  void Serve(Tcp::socket socket) {
    PrepareSocket(socket, kCallerLiveness);
    const auto executor = socket.get_executor();
    const auto session =
        std::make_shared<HttpSession>(std::move(socket), this->shared);
    this->TrackSession(session);
    asio::post(executor, [session] { session->Read(); });
  }

  // Accepts the connections in the listen queue: their callers' connects have
  // already succeeded.
  void AcceptPending() {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      Tcp::socket socket(this->threads.Next());
      this->acceptor.accept(socket, error);
      if (!error) this->Serve(std::move(socket));
    }
  }

  void CloseIdle() {
    for (const auto& tracked : this->sessions) {
      if (const auto session = tracked.lock()) session->CloseIfIdle();
    }
  }

  void CloseIdleLater() {
    this->idle_timer.expires_after(kFirstRequestTimeout);
    this->idle_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (!error) self->CloseIdle();
        });
  }

  void TrackSession(const std::shared_ptr<HttpSession>& session) {
    constexpr std::size_t kPruneMargin = 64;
    if (this->sessions.size() >= 2 * this->live_sessions + kPruneMargin) {
      std::erase_if(this->sessions,
                    [](const auto& tracked) { return tracked.expired(); });
      this->live_sessions = this->sessions.size();
    }
    this->sessions.push_back(session);
  }

  ThreadGroup& threads;
  Tcp::acceptor acceptor;
  asio::steady_timer idle_timer;
  std::shared_ptr<HttpServerState> shared;
  std::vector<std::weak_ptr<HttpSession>> sessions;
  // The size of `sessions` after expired ones were last removed.
  std::size_t live_sessions = 0;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    const Endpoint& endpoint, ThreadGroup& threads, HttpHandler handler,
    HttpConnectionObserver observer) {
  auto listener = std::make_shared<Listener>(threads, std::move(handler),
                                             std::move(observer));
  BOOST_LEAF_CHECK(listener->Bind(endpoint));
  listener->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
}

HttpServer::HttpServer(std::shared_ptr<Listener> bound)
    : listener(std::move(bound)) {}

HttpServer::~HttpServer() { this->listener->Detach(); }

std::uint16_t HttpServer::port() const { return this->listener->port(); }

void HttpServer::CloseAfterAnswers() { this->listener->CloseAfterAnswers(); }

void HttpServer::Drain(std::function<void()> drained) {
  this->listener->Drain(std::move(drained));
}

HttpServerLoad HttpServer::Load() const { return this->listener->Load(); }

}  // namespace dandelionspur
