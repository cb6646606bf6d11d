#include "libraries/network/http_messages.h"

#include <boost/beast/http/field.hpp>

namespace dandelionspur {
namespace {

namespace http = boost::beast::http;

}  // namespace

HttpResponse RefuseOverload(const HttpRequest& /*request*/) {
  constexpr unsigned kServiceUnavailable = 503;
  return MakeHttpResponse(kServiceUnavailable, "text/plain", "");
}

HttpResponse MakeHttpResponse(unsigned status, const std::string& content_type,
                              std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

}  // namespace dandelionspur
