#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "libraries/network/http_request_reader.h"
#include "libraries/network/http_server_state.h"
#include "libraries/network/http_session_progress.h"

namespace dandelionspur {

// One caller's connection to an HTTP server. Everything runs on the socket's
// io_context; the functions that say so may be called from any thread.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket connected,
              std::shared_ptr<HttpServerState> common);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  // Closes the connection unless a request is being handled on it. Cancels the
  // pending read instead of closing the socket, so that bytes that the read has
  // already received are not lost: OnRead reads on if there are any. May be
  // called from any thread.
  void CloseIfIdle();
  // Reads the first request.
  void Read();
  // Closes the connection because of a limit, unless it has got on meanwhile:
  // an idle one if nothing has arrived, one that reads or writes in any case,
  // one whose request is handled never. A request that takes too long is
  // refused. May be called from any thread.
  void EndFor(HttpLimit reached);

  // May be called from any thread.
  [[nodiscard]] const HttpSessionProgress& progress() const {
    return this->state;
  }
  [[nodiscard]] const boost::asio::ip::address& peer() const {
    return this->caller;
  }

 private:
  // Whether at least part of a request has been received that was not passed to
  // the handler yet. It would be lost if the connection were closed.
  [[nodiscard]] bool HasUnhandledBytes();
  void ReadMore();
  void ReadNext();
  void MarkUnanswered();
  void MarkAnswered();
  void OnRead(boost::system::error_code error, std::size_t received);
  void OnCancelled();
  // Goes on with what has been received.
  void Proceed();
  void HandleRequest();
  void Respond(HttpResponseFactory make);
  void Refuse(unsigned status);
  void Write(HttpResponse message);
  void OnWritten(boost::system::error_code error);
  // Reads on for a moment what the caller still sends, since closing at once
  // could cost it the refusal.
  void Linger();
  void EndNow(HttpLimit reached);
  void Hold(std::size_t bytes);
  void Close(HttpConnectionEnd cause);
  [[nodiscard]] HttpConnectionReport Report();

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<HttpServerState> shared;
  const boost::asio::ip::address caller;
  HttpRequestReader reader;
  HttpSessionProgress state;
  HttpResponse response;
  bool keep_alive = true;
  // Whether a request is being handled or its response written.
  bool busy = false;
  // Whether a request has been refused, after which nothing more is read.
  bool refused = false;
  unsigned version = 11;
  // What has been read while lingering, in bytes.
  std::size_t lingered = 0;
  // Why the connection ends, once that is known.
  HttpConnectionEnd end = HttpConnectionEnd::kServerEnded;
  // When the last request was read; nothing before the first.
  std::optional<std::chrono::steady_clock::time_point> request_read_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_H_
