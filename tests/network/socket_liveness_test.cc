#include "libraries/network/socket_liveness.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <string>

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

int OptionOf(Tcp::socket::native_handle_type socket, int level, int name) {
  int value = -1;
  socklen_t size = sizeof(value);
  EXPECT_EQ(getsockopt(socket, level, name, &value, &size), 0);
  return value;
}

struct LivenessCase {
  std::string name;
  SocketLiveness bounds;
};

class SocketLivenessTest : public testing::TestWithParam<LivenessCase> {
 protected:
  SocketLivenessTest() {
    Tcp::acceptor acceptor(this->context,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->other.connect(acceptor.local_endpoint());
    this->socket = acceptor.accept();
  }

  void ExpectBounds(const SocketLiveness& bounds) {
    const auto handle = this->socket.native_handle();
    EXPECT_EQ(OptionOf(handle, IPPROTO_TCP, TCP_USER_TIMEOUT),
              bounds.unacknowledged.count());
    EXPECT_EQ(OptionOf(handle, IPPROTO_TCP, TCP_KEEPIDLE), bounds.idle.count());
    EXPECT_EQ(OptionOf(handle, IPPROTO_TCP, TCP_KEEPINTVL),
              bounds.probe_interval.count());
    EXPECT_EQ(OptionOf(handle, IPPROTO_TCP, TCP_KEEPCNT), bounds.probes);
    EXPECT_EQ(OptionOf(handle, SOL_SOCKET, SO_KEEPALIVE), 1);
    EXPECT_EQ(OptionOf(handle, IPPROTO_TCP, TCP_NODELAY), 1);
  }

  asio::io_context context{1};
  Tcp::socket other{this->context};
  Tcp::socket socket{this->context};
};

// Guards against connections that stay open for good after their other end has
// gone without a word: the kernel closes them only if it is asked to.
TEST_P(SocketLivenessTest, KernelIsAskedToCloseSilentConnections) {
  PrepareSocket(this->socket, this->GetParam().bounds);
  this->ExpectBounds(this->GetParam().bounds);
}

INSTANTIATE_TEST_SUITE_P(
    Bounds, SocketLivenessTest,
    testing::Values(LivenessCase{"Internal", kInternalLiveness},
                    LivenessCase{"Caller", kCallerLiveness}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
