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
  boost::system::error_code error;
  boost::asio::ip::make_address(endpoint.address, error);
  const bool valid =
      !error && port.ec == std::errc() && port.ptr == end && endpoint.port != 0;
  if (!valid) return Fail("must be \"IP:PORT\"");
  return endpoint;
}

std::string EndpointText(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace dandelionspur
