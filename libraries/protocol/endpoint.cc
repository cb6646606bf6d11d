#include "libraries/protocol/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace dandelionspur {

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return Fail("must be \"IP:PORT\"");
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto port =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  const bool valid =
      port.ec == std::errc() && port.ptr == end && IsReachable(endpoint);
  if (!valid) return Fail("must be \"IP:PORT\"");
  return endpoint;
}

bool IsReachable(const Endpoint& endpoint) {
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint.address, error);
  return !error && endpoint.port != 0;
}

std::string EndpointText(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace dandelionspur
