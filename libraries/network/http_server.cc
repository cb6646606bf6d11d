#include "libraries/network/http_server.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "libraries/network/bind_acceptor.h"
#include "libraries/network/http_session.h"
#include "libraries/network/http_victims.h"
#include "libraries/network/socket_liveness.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// How long the first request of the connection accepted last may still be in
// transit when the server drains. Idle connections are closed again after this.
constexpr std::chrono::milliseconds kFirstRequestTimeout{200};
// How often limits of time are checked.
constexpr std::chrono::seconds kSweepInterval{1};
// How long a refused caller may take to close its connection.
constexpr std::chrono::seconds kLingerTime{2};
// The pause after there was no room for a new connection.
constexpr std::chrono::milliseconds kShortagePause{5};

bool IsShortage(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open ||
         error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory;
}

}  // namespace

class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  Listener(ThreadGroup& group, HttpHandler callback, HttpServerOptions options)
      : threads(group),
        acceptor(group.First()),
        idle_timer(group.First()),
        sweep_timer(group.First()),
        pause_timer(group.First()),
        shared(std::make_shared<HttpServerState>(
            std::move(callback), std::move(options.connection_ended),
            options.limits, std::move(options.limit_reached),
            std::move(options.refuse_overload))) {}

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
          if (!self->acceptor.is_open()) {
            self->shared->Release();
          } else if (IsShortage(error)) {
            self->MakeRoomForOne();
            self->AcceptAfterPause();
          } else if (self->IsOverfull()) {
            self->AcceptAfterPause();
          } else {
            self->Accept();
          }
        });
  }

  void Start() {
    this->shared->relieve = [listener = this->weak_from_this()] {
      if (const auto self = listener.lock()) self->RelieveSoon();
    };
    this->Accept();
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
    return {this->shared->connections, this->shared->unanswered,
            this->shared->held};
  }

  [[nodiscard]] std::uint16_t port() const {
    return this->acceptor.local_endpoint().port();
  }

 private:
  // The functions below run on the acceptor's thread.
  void Serve(Tcp::socket socket) {
    const std::size_t limit = this->shared->limits.connections;
    const bool full = this->shared->connections >= limit;
    if (full && !this->MakeRoom(limit - 1)) {
      this->shared->limit_reached(HttpLimit::kConnections);
      return;
    }
    PrepareSocket(socket, kCallerLiveness);
    const auto executor = socket.get_executor();
    const auto session =
        std::make_shared<HttpSession>(std::move(socket), this->shared);
    this->TrackSession(session);
    this->SweepLater();
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

  void AcceptAfterPause() {
    this->pause_timer.expires_after(kShortagePause);
    this->pause_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code) {
          if (self->acceptor.is_open()) {
            self->Accept();
          } else {
            self->shared->Release();
          }
        });
  }

  // Whether connections that are to close have not done so yet, and new ones
  // have to wait for them.
  [[nodiscard]] bool IsOverfull() const {
    constexpr std::size_t kMarginPart = 16;
    const std::size_t limit = this->shared->limits.connections;
    return this->shared->connections > limit + limit / kMarginPart;
  }

  // Begins to close connections that can be done without, until at most `most`
  // are left. Returns false if there are more, and all of them are in use.
  bool MakeRoom(std::size_t most) {
    const auto victims = ChooseForRoom(this->OpenSessions(), most,
                                       HttpSessionProgress::Clock::now());
    if (!victims) return false;
    for (const auto& session : *victims) {
      session->EndFor(HttpLimit::kConnections);
    }
    return true;
  }

  // The system has no descriptor, or no memory, for one more.
  void MakeRoomForOne() {
    const std::size_t open = this->shared->connections;
    if (open > 0) this->MakeRoom(open - 1);
  }

  // May be called from any thread.
  void RelieveSoon() {
    if (this->relief_pending.exchange(true)) return;
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 self->relief_pending = false;
                 self->Relieve();
               });
  }

  // Begins to close the connections that hold the most, if all together hold
  // too much.
  void Relieve() {
    const std::vector<SessionPointer> victims =
        ChooseForRelief(this->OpenSessions(), this->shared->limits.held_bytes,
                        HttpSessionProgress::Clock::now());
    for (const auto& session : victims) session->EndFor(HttpLimit::kHeld);
  }

  void SweepLater() {
    if (this->sweeping) return;
    this->sweeping = true;
    this->sweep_timer.expires_after(kSweepInterval);
    this->sweep_timer.async_wait(
        [listener = this->weak_from_this()](boost::system::error_code error) {
          const auto self = listener.lock();
          if (error || !self) return;
          self->sweeping = false;
          self->Sweep();
          if (self->shared->connections > 0) self->SweepLater();
        });
  }

  // Closes connections that have taken too long.
  void Sweep() {
    const auto now = HttpSessionProgress::Clock::now();
    for (const auto& session : this->OpenSessions()) {
      const auto age = session->progress().Age(now);
      const HttpSessionPhase phase = session->progress().phase();
      if (phase == HttpSessionPhase::kReading &&
          age > this->shared->limits.request_time) {
        session->EndFor(HttpLimit::kRequestTime);
      }
      if (phase == HttpSessionPhase::kWriting &&
          age > this->shared->limits.answer_time) {
        session->EndFor(HttpLimit::kAnswerTime);
      }
      if (phase == HttpSessionPhase::kLingering && age > kLingerTime) {
        session->EndFor(HttpLimit::kAnswerTime);
      }
    }
  }

  [[nodiscard]] std::vector<SessionPointer> OpenSessions() const {
    std::vector<SessionPointer> open;
    open.reserve(this->sessions.size());
    for (const auto& tracked : this->sessions) {
      if (auto session = tracked.lock()) open.push_back(std::move(session));
    }
    return open;
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
  asio::steady_timer sweep_timer;
  asio::steady_timer pause_timer;
  bool sweeping = false;
  std::atomic<bool> relief_pending = false;
  std::shared_ptr<HttpServerState> shared;
  std::vector<std::weak_ptr<HttpSession>> sessions;
  // The size of `sessions` after expired ones were last removed.
  std::size_t live_sessions = 0;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    const Endpoint& endpoint, ThreadGroup& threads, HttpHandler handler,
    HttpServerOptions options) {
  auto listener = std::make_shared<Listener>(threads, std::move(handler),
                                             std::move(options));
  BOOST_LEAF_CHECK(listener->Bind(endpoint));
  listener->Start();
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
