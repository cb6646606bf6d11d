#include "libraries/network/socket_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace dandelionspur {
namespace {

using Tcp = boost::asio::ip::tcp;

template <int Name>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

template <typename Option>
void Set(Tcp::socket& socket, const Option& option) {
  boost::system::error_code ended;
  socket.set_option(option, ended);
}

}  // namespace

void PrepareSocket(Tcp::socket& socket, const SocketLiveness& bounds) {
  Set(socket, Tcp::no_delay(true));
  Set(socket, TcpOption<TCP_USER_TIMEOUT>(
                  static_cast<int>(bounds.unacknowledged.count())));
  Set(socket, TcpOption<TCP_KEEPIDLE>(static_cast<int>(bounds.idle.count())));
  Set(socket, TcpOption<TCP_KEEPINTVL>(
                  static_cast<int>(bounds.probe_interval.count())));
  Set(socket, TcpOption<TCP_KEEPCNT>(bounds.probes));
  Set(socket, boost::asio::socket_base::keep_alive(true));
}

}  // namespace dandelionspur
