#ifndef DANDELIONSPUR_LIBRARIES_NETWORK_BIND_ACCEPTOR_H_
#define DANDELIONSPUR_LIBRARIES_NETWORK_BIND_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>

#include "libraries/base/error.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

boost::asio::ip::tcp::endpoint ToTcpEndpoint(const Endpoint& endpoint);

// Opens, binds and starts listening. The error text names the endpoint and the
// system's reason.
Result<void> BindAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          const Endpoint& endpoint);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_NETWORK_BIND_ACCEPTOR_H_
