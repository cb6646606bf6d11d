#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_LINK_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/time.h"
#include "libraries/network/frame_connection.h"
#include "libraries/network/thread_group.h"
#include "libraries/protocol/hello.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

using FrameConnectionPointer = std::shared_ptr<FrameConnection>;

// Callbacks for a link, a connection on which both sides have sent a Hello. All
// are called on the connection's io_context: `up` once the other side's Hello
// has been accepted, `down` when that connection has closed.
struct LinkHandlers {
  std::function<void(const Hello& other, FrameConnectionPointer)> up;
  // Returns whether the frame could be decoded.
  std::function<bool(const Hello& other, std::string_view body)> frame;
  std::function<void(const Hello& other, const FrameConnectionPointer&)> down;
  // May be empty. Called if the connection closes because of invalid bytes.
  std::function<void(FrameError)> frame_error;
  // May be empty. Called before `down` if the connection is closed because the
  // other process was silent on it.
  std::function<void(const Hello& other, const LinkSilence&)> silent;
  // Called by dialers only; may be empty. An attempt to connect was refused,
  // for the first time since the last connection.
  std::function<void()> refused;
  // Called by dialers only, once; may be empty. A process with another id
  // answers at the address, so the expected one has ended.
  std::function<void()> replaced;
};

// Accepts links from other processes of the dispatcher.
class LinkListener {
 public:
  static Result<std::unique_ptr<LinkListener>> Create(const Endpoint& endpoint,
                                                      ThreadGroup& threads,
                                                      Hello own,
                                                      LinkHandlers callbacks);
  LinkListener(const LinkListener&) = delete;
  LinkListener& operator=(const LinkListener&) = delete;
  ~LinkListener();

 private:
  class Acceptor;
  explicit LinkListener(std::shared_ptr<Acceptor> bound);
  std::shared_ptr<Acceptor> acceptor;
};

// Keeps a link to one process open, reconnecting after a loss, until it is
// stopped or another incarnation of the process answers.
//
// A link on which the other process is silent is not closed at once: it may be
// sound, and the process frozen or late. The dialer opens a second connection
// instead, and replaces the link only if the process answers there and remains
// silent on the link. What this process itself was late to read has been read
// by then.
class LinkDialer : public std::enable_shared_from_this<LinkDialer> {
 public:
  // The dialer continues to connect after a refusal, but not after an answer by
  // a process with another id than `expected`.
  static std::shared_ptr<LinkDialer> Create(boost::asio::io_context& context,
                                            const Endpoint& endpoint, Hello own,
                                            Hello expected,
                                            LinkHandlers callbacks);
  LinkDialer(const LinkDialer&) = delete;
  LinkDialer& operator=(const LinkDialer&) = delete;

  void Start();
  // Closes the connection and ends the attempts to connect.
  void Stop();

 private:
  LinkDialer(boost::asio::io_context& executor, const Endpoint& endpoint,
             Hello own, Hello expected, LinkHandlers callbacks);
  void Dial();
  void RedialLater();
  void OnConnected(boost::asio::ip::tcp::socket socket);
  // The callbacks of a connection while it waits for the other's Hello.
  void OnHello(const Hello& other);
  void OnAttemptClosed();
  // The callbacks of the open link.
  void OnUnanswered();
  void OnLinkClosed();
  // Decides whether the attempt becomes the link, once the process has answered
  // on it and the open link has had time to be heard.
  void ReplaceIfSilent(const Hello& other);
  // The process has proved to be late, not its link silent.
  void PostponeAttempts();
  void OpenLink(const Hello& other);
  // Abandons the attempt after `limit`.
  void LimitAttempt(Duration limit);
  void AbandonAttempt();
  void ReportRefusal();
  void ReportReplacement();

  boost::asio::io_context& context;
  Endpoint target;
  Hello own_hello;
  Hello expected_hello;
  LinkHandlers handlers;
  // Limits the attempt, or delays the next one.
  boost::asio::steady_timer timer;
  // The open link; null if there is none.
  FrameConnectionPointer connection;
  // The process at the other end of `connection`.
  Hello connected_hello;
  // A connection that is being opened, or waits for the other's Hello.
  std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
  FrameConnectionPointer attempt;
  bool hello_sent = false;
  // No attempt to replace an open link begins earlier.
  std::chrono::steady_clock::time_point next_attempt;
  Duration attempt_pause{};
  bool stopped = false;
  bool refusal_reported = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_LINK_H_
