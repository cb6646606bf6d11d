#include "libraries/network/endpoint_watch.h"

#include <gtest/gtest.h>

#include <chrono>

namespace dandelionspur {
namespace {

using Tcp = boost::asio::ip::tcp;

// A killed process may still listen when it is asked for the first time.
TEST(EndpointWatchTest, TellsOnceTheListenerHasGone) {
  boost::asio::io_context context(1);
  Tcp::acceptor listener(
      context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint endpoint{"127.0.0.1", listener.local_endpoint().port()};
  int told = 0;
  const auto watch = EndpointWatch::Start(context, endpoint, [&] { ++told; });
  context.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(told, 0);
  listener.close();
  // Ends by itself when the watch has nothing more to do.
  context.restart();
  context.run();
  EXPECT_EQ(told, 1);
}

TEST(EndpointWatchTest, TellsNothingOnceStopped) {
  boost::asio::io_context context(1);
  Tcp::acceptor listener(
      context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const Endpoint endpoint{"127.0.0.1", listener.local_endpoint().port()};
  int told = 0;
  const auto watch = EndpointWatch::Start(context, endpoint, [&] { ++told; });
  context.run_for(std::chrono::milliseconds(50));
  watch->Stop();
  listener.close();
  context.restart();
  context.run();
  EXPECT_EQ(told, 0);
}

}  // namespace
}  // namespace dandelionspur
