#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "libraries/network/http_server_state.h"

namespace dandelionspur {

// One caller's connection to an HTTP server. Everything runs on the socket's
// io_context; CloseIfIdle may be called from any thread.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket connected,
              std::shared_ptr<HttpServerState> common);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  // Closes the connection unless a request is being handled on it. Cancels the
  // pending read instead of closing the socket, so that bytes that the read has
  // already received are not lost: OnRead reads on if there are any.
  void CloseIfIdle();
  // Reads the first request.
  void Read();

 private:
  // Whether at least part of a request has been received that was not passed to
  // the handler yet. It would be lost if the connection were closed.
  [[nodiscard]] bool HasUnhandledBytes();
  void PrepareParser();
  void AwaitRequest();
  void ReadNext();
  void MarkUnanswered();
  void MarkAnswered();
  void OnRead(boost::system::error_code error);
  void Respond(HttpResponseFactory make);
  void Write(HttpResponse message);
  void OnWritten(boost::system::error_code error);
  [[nodiscard]] HttpConnectionReport Report();

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<HttpServerState> shared;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  HttpResponse response;
  bool keep_alive = true;
  // Whether a request is being handled or its response written.
  bool busy = false;
  unsigned version = 11;
  // Why the connection ends, once that is known.
  HttpConnectionEnd end = HttpConnectionEnd::kServerEnded;
  // When the last request was read; nothing before the first.
  std::optional<std::chrono::steady_clock::time_point> request_read_at;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_SESSION_H_
