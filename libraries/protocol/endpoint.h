#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_ENDPOINT_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_ENDPOINT_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

#include "libraries/base/error.h"

namespace dandelionspur {

// Where a process listens: an IP address and a TCP port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};
BOOST_DESCRIBE_STRUCT(Endpoint, (), (address, port))

// Parses "IP:PORT". Fails for host names and for port 0.
Result<Endpoint> ParseEndpoint(const std::string& text);
// Whether a process can be reached at the endpoint: the address is an IP number
// and the port is not 0.
bool IsReachable(const Endpoint& endpoint);
// Formats the endpoint as "IP:PORT".
std::string EndpointText(const Endpoint& endpoint);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_ENDPOINT_H_
