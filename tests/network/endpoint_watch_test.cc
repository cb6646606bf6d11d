#include "libraries/network/endpoint_watch.h"

#include <gtest/gtest.h>

#include <chrono>

namespace dandelionspur {
namespace {

using Tcp = boost::asio::ip::tcp;

// A watch of an endpoint where something listens at first.
class EndpointWatchTest : public testing::Test {
 protected:
  EndpointWatchTest()
      : listener(this->context,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        watch(EndpointWatch::Start(
            this->context,
            {"127.0.0.1", this->listener.local_endpoint().port()},
            [this] { ++this->told; })) {
    this->context.run_for(std::chrono::milliseconds(50));
  }

  // Ends by itself when the watch has nothing more to do.
  void RunToTheEnd() {
    this->context.restart();
    this->context.run();
  }

  int told = 0;
  boost::asio::io_context context{1};
  Tcp::acceptor listener;
  std::shared_ptr<EndpointWatch> watch;
};

// A killed process may still listen when it is asked for the first time.
TEST_F(EndpointWatchTest, TellsOnceTheListenerHasGone) {
  EXPECT_EQ(this->told, 0);
  this->listener.close();
  this->RunToTheEnd();
  EXPECT_EQ(this->told, 1);
}

TEST_F(EndpointWatchTest, TellsNothingOnceStopped) {
  this->watch->Stop();
  this->listener.close();
  this->RunToTheEnd();
  EXPECT_EQ(this->told, 0);
}

}  // namespace
}  // namespace dandelionspur
