#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_MESSAGES_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_MESSAGES_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>
#include <utility>

namespace dandelionspur {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Builds a response.
using HttpResponseFactory = std::function<HttpResponse()>;

// Sends the response to one request. Must be used once, from any thread.
class HttpResponder {
 public:
  explicit HttpResponder(std::function<void(HttpResponseFactory)> sender)
      : send(std::move(sender)) {}

  void operator()(HttpResponse response) const {
    this->send([made = std::move(response)] { return made; });
  }
  // Builds the response on the connection's thread.
  void Defer(HttpResponseFactory make) const { this->send(std::move(make)); }

 private:
  std::function<void(HttpResponseFactory)> send;
};

// Called on one of the server's threads.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// Builds the response to a request that was not passed to the handler.
using HttpRefusal = std::function<HttpResponse(const HttpRequest&)>;

// A response of status 503 without a body.
HttpResponse RefuseOverload(const HttpRequest& request);

// Builds a response with a body of the given media type.
HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_HTTP_MESSAGES_H_
