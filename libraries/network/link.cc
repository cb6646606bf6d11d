#include "libraries/network/link.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "libraries/network/bind_acceptor.h"
#include "libraries/network/link_liveness.h"
#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration kRedialInterval = std::chrono::milliseconds(100);
constexpr Duration kRedialSpread = std::chrono::milliseconds(50);

// More than any Hello has, also of later versions. Nobody has said yet who
// sends it.
constexpr std::size_t kMaximumHelloBytes = 4096;
// The pause after a connection could not be accepted, for lack of descriptors
// or memory.
constexpr std::chrono::milliseconds kAcceptPause{20};

std::optional<Hello> DecodeHello(std::string_view body) {
  return OrElse(
      [&]() -> Result<std::optional<Hello>> {
        BOOST_LEAF_AUTO(hello, WireCodec::FromMessagePack<Hello>(body));
        return std::optional<Hello>(hello);
      },
      [](const std::string&) { return std::optional<Hello>(); });
}

Hello WithAnswers(Hello own) {
  own.answers = true;
  return own;
}

Duration RandomUpTo(Duration limit) {
  thread_local std::minstd_rand engine{std::random_device{}()};
  std::uniform_int_distribution<Duration::rep> distribution(0, limit.count());
  return Duration(distribution(engine));
}

void ReportTimeout(const FrameConnection& closed, const Hello& other,
                   const LinkHandlers& handlers) {
  if (closed.timed_out() && handlers.silent) {
    handlers.silent(other, closed.silence());
  }
}

// Passes a frame of an open link on, unless it is an answer.
bool DeliverFrame(const Hello& other, std::string_view body,
                  const LinkHandlers& handlers) {
  if (body.empty()) return other.answers;
  return handlers.frame(other, body);
}

// Closes the connection if no Hello comes on it in time.
void LimitHello(const FrameConnectionPointer& connection,
                const asio::any_io_executor& executor,
                const std::shared_ptr<std::optional<Hello>>& other) {
  const auto timer = std::make_shared<asio::steady_timer>(executor);
  timer->expires_after(kAcceptedHelloLimit);
  timer->async_wait(
      [timer, other, weak = std::weak_ptr<FrameConnection>(connection)](
          boost::system::error_code error) {
        const FrameConnectionPointer open = weak.lock();
        if (!error && open && !*other) open->Close();
      });
}

// Starts an accepted connection: sends `own`, expects a Hello as the first
// frame and passes later frames to `handlers`.
void StartAcceptedLink(const FrameConnectionPointer& connection,
                       const asio::any_io_executor& executor, const Hello& own,
                       const LinkHandlers& handlers) {
  connection->Send(WireCodec::ToMessagePack(own));
  const auto other = std::make_shared<std::optional<Hello>>();
  connection->LimitFrames(kMaximumHelloBytes);
  LimitHello(connection, executor, other);
  FrameConnection::Handlers callbacks;
  callbacks.frame = [=](std::string_view body) {
    if (*other) return DeliverFrame(**other, body, handlers);
    *other = DecodeHello(body);
    if (!*other) return false;
    connection->LimitFrames(kMaximumFrameBody);
    if ((*other)->answers) connection->AnswerEvery(kAnswerInterval);
    handlers.up(**other, connection);
    return true;
  };
  callbacks.closed = [=](std::optional<FrameError> error) {
    if (error && handlers.frame_error) handlers.frame_error(*error);
    if (!*other) return;
    ReportTimeout(*connection, **other, handlers);
    handlers.down(**other, connection);
  };
  connection->Start(std::move(callbacks));
}

}  // namespace

class LinkListener::Acceptor
    : public std::enable_shared_from_this<LinkListener::Acceptor> {
 public:
  Acceptor(ThreadGroup& group, Hello own, LinkHandlers callbacks)
      : threads(group),
        acceptor(group.First()),
        pause_timer(group.First()),
        own_hello(WithAnswers(own)),
        handlers(std::move(callbacks)) {}

  Result<void> Bind(const Endpoint& endpoint) {
    return BindAcceptor(this->acceptor, endpoint);
  }

  void Accept() {
    this->acceptor.async_accept(
        this->threads.Next(),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          Tcp::socket socket) {
          if (error == asio::error::operation_aborted) return;
          if (!error) {
            const auto executor = socket.get_executor();
            const FrameConnectionPointer connection =
                FrameConnection::Create(std::move(socket));
            asio::post(executor, [self, connection, executor] {
              StartAcceptedLink(connection, executor, self->own_hello,
                                self->handlers);
            });
            self->Accept();
            return;
          }
          self->AcceptAfterPause();
        });
  }

  void Close() {
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
                 self->pause_timer.cancel();
               });
  }

 private:
  void AcceptAfterPause() {
    this->pause_timer.expires_after(kAcceptPause);
    this->pause_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (!error && self->acceptor.is_open()) self->Accept();
        });
  }

  ThreadGroup& threads;
  Tcp::acceptor acceptor;
  asio::steady_timer pause_timer;
  Hello own_hello;
  LinkHandlers handlers;
};

Result<std::unique_ptr<LinkListener>> LinkListener::Create(
    const Endpoint& endpoint, ThreadGroup& threads, Hello own,
    LinkHandlers callbacks) {
  auto bound = std::make_shared<Acceptor>(threads, own, std::move(callbacks));
  BOOST_LEAF_CHECK(bound->Bind(endpoint));
  bound->Accept();
  return std::unique_ptr<LinkListener>(new LinkListener(std::move(bound)));
}

LinkListener::LinkListener(std::shared_ptr<Acceptor> bound)
    : acceptor(std::move(bound)) {}

LinkListener::~LinkListener() { this->acceptor->Close(); }

std::shared_ptr<LinkDialer> LinkDialer::Create(asio::io_context& context,
                                               const Endpoint& endpoint,
                                               Hello own, Hello expected,
                                               LinkHandlers callbacks) {
  return std::shared_ptr<LinkDialer>(
      new LinkDialer(context, endpoint, own, expected, std::move(callbacks)));
}

LinkDialer::LinkDialer(asio::io_context& executor, const Endpoint& endpoint,
                       Hello own, Hello expected, LinkHandlers callbacks)
    : context(executor),
      target(endpoint),
      own_hello(WithAnswers(own)),
      expected_hello(expected),
      handlers(std::move(callbacks)),
      timer(executor) {}

void LinkDialer::Start() {
  asio::post(this->context,
             [self = this->shared_from_this()] { self->Dial(); });
}

void LinkDialer::Stop() {
  asio::post(this->context, [self = this->shared_from_this()] {
    self->stopped = true;
    self->timer.cancel();
    self->AbandonAttempt();
    if (self->connection) self->connection->Close();
  });
}

void LinkDialer::Dial() {
  // An endpoint from another process may be invalid, and stays so.
  if (this->stopped || !IsReachable(this->target)) return;
  this->connecting = std::make_shared<Tcp::socket>(this->context);
  this->LimitAttempt(kConnectLimit);
  this->connecting->async_connect(
      ToTcpEndpoint(this->target),
      [self = this->shared_from_this(),
       socket = this->connecting](boost::system::error_code error) {
        if (self->stopped || self->connecting != socket) return;
        self->connecting.reset();
        if (error == asio::error::connection_refused) self->ReportRefusal();
        if (error) {
          self->RedialLater();
          return;
        }
        self->OnConnected(std::move(*socket));
      });
}

void LinkDialer::LimitAttempt(Duration limit) {
  this->timer.expires_after(limit);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->stopped) return;
        self->AbandonAttempt();
        self->RedialLater();
      });
}

void LinkDialer::AbandonAttempt() {
  // The handlers of an abandoned attempt find that it is no longer the current
  // one.
  if (this->connecting) {
    boost::system::error_code ignored;
    this->connecting->close(ignored);
    this->connecting.reset();
  }
  if (!this->attempt) return;
  this->attempt->Close();
  this->attempt.reset();
}

void LinkDialer::RedialLater() {
  // An open link that remains silent causes the next attempt.
  if (this->stopped || this->connection) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_after(kRedialInterval + RandomUpTo(kRedialSpread));
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->Dial();
      });
}

void LinkDialer::OnConnected(Tcp::socket socket) {
  this->LimitAttempt(kHelloLimit);
  const FrameConnectionPointer fresh =
      FrameConnection::Create(std::move(socket));
  this->attempt = fresh;
  // The acceptor takes a link for open once it has the Hello, so it gets none
  // before it is decided that the open link is replaced.
  this->hello_sent = this->connection == nullptr;
  if (this->hello_sent) fresh->Send(WireCodec::ToMessagePack(this->own_hello));
  FrameConnection::Handlers callbacks;
  callbacks.frame = [self = this->shared_from_this(),
                     fresh](std::string_view body) {
    if (fresh == self->connection) {
      return DeliverFrame(self->connected_hello, body, self->handlers);
    }
    const std::optional<Hello> other = DecodeHello(body);
    if (other && fresh == self->attempt) self->OnHello(*other);
    return other.has_value();
  };
  callbacks.closed = [self = this->shared_from_this(),
                      fresh](std::optional<FrameError> error) {
    if (error && self->handlers.frame_error) self->handlers.frame_error(*error);
    if (fresh == self->connection) self->OnLinkClosed();
    if (fresh == self->attempt) self->OnAttemptClosed();
  };
  callbacks.unanswered = [self = this->shared_from_this(), fresh] {
    if (fresh == self->connection) self->OnUnanswered();
  };
  fresh->Start(std::move(callbacks));
}

void LinkDialer::OnHello(const Hello& other) {
  if (other.id != this->expected_hello.id) {
    this->ReportReplacement();
    this->Stop();
    return;
  }
  this->refusal_reported = false;
  if (!this->connection) {
    this->OpenLink(other);
    return;
  }
  this->timer.expires_after(kAnswerGrace);
  this->timer.async_wait([self = this->shared_from_this(),
                          other](boost::system::error_code error) {
    if (!error && !self->stopped && self->attempt) self->ReplaceIfSilent(other);
  });
}

void LinkDialer::ReplaceIfSilent(const Hello& other) {
  if (!this->connection) {
    this->OpenLink(other);
    return;
  }
  if (!this->connection->IsSilent()) {
    this->AbandonAttempt();
    this->PostponeAttempts();
    return;
  }
  if (this->handlers.silent) {
    this->handlers.silent(this->connected_hello, this->connection->silence());
  }
  this->connection->Close();
  // Queued behind the end of the silent link, so that `down` comes first.
  asio::post(this->context,
             [self = this->shared_from_this(), other, fresh = this->attempt] {
               if (self->stopped || fresh != self->attempt) return;
               self->OpenLink(other);
             });
}

void LinkDialer::OpenLink(const Hello& other) {
  this->timer.cancel();
  this->connection = std::move(this->attempt);
  this->attempt.reset();
  this->connected_hello = other;
  if (!this->hello_sent) {
    this->connection->Send(WireCodec::ToMessagePack(this->own_hello));
  }
  if (other.answers) {
    this->connection->ExpectAnswers(kAnswerLimit +
                                    RandomUpTo(kAnswerLimitSpread));
  }
  this->handlers.up(other, this->connection);
}

void LinkDialer::OnUnanswered() {
  const bool trying = this->connecting || this->attempt;
  if (trying || std::chrono::steady_clock::now() < this->next_attempt) return;
  if (this->connection->IsSilent()) this->Dial();
}

void LinkDialer::PostponeAttempts() {
  const auto now = std::chrono::steady_clock::now();
  const bool in_series = now - this->next_attempt < kMaximumAttemptPause;
  this->attempt_pause =
      in_series ? std::min(2 * this->attempt_pause, kMaximumAttemptPause)
                : kAttemptPause;
  this->next_attempt = now + this->attempt_pause;
}

void LinkDialer::OnLinkClosed() {
  const FrameConnectionPointer closed = std::move(this->connection);
  this->connection.reset();
  ReportTimeout(*closed, this->connected_hello, this->handlers);
  this->handlers.down(this->connected_hello, closed);
  if (!this->connecting && !this->attempt) this->RedialLater();
}

void LinkDialer::OnAttemptClosed() {
  this->attempt.reset();
  this->RedialLater();
}

void LinkDialer::ReportRefusal() {
  if (this->refusal_reported) return;
  this->refusal_reported = true;
  if (this->handlers.refused) this->handlers.refused();
}

void LinkDialer::ReportReplacement() {
  if (this->handlers.replaced) this->handlers.replaced();
}

}  // namespace dandelionspur
