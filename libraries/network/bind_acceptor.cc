#include "libraries/network/bind_acceptor.h"

#include <string>

namespace dandelionspur {
namespace {

boost::system::error_code TryBind(
    boost::asio::ip::tcp::acceptor& acceptor,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (error) return error;
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (error) return error;
  acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  return error;
}

}  // namespace

boost::asio::ip::tcp::endpoint ToTcpEndpoint(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

Result<void> BindAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          const Endpoint& endpoint) {
  const boost::system::error_code error =
      TryBind(acceptor, ToTcpEndpoint(endpoint));
  if (!error) return {};
  return Fail("can't listen on " + EndpointText(endpoint) + ": " +
              error.message());
}

}  // namespace dandelionspur
