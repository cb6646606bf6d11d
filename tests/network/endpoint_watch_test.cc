#include "libraries/network/endpoint_watch.h"

#include <gtest/gtest.h>

#include <chrono>

namespace dandelionspur {
namespace {

using Tcp = boost::asio::ip::tcp;

// Watches an endpoint that has a listener at first.
class EndpointWatchTest : public testing::Test {
 protected:
  EndpointWatchTest()
      : listener(this->context,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        watch(EndpointWatch::Start(
            this->context,
            {"127.0.0.1", this->listener.local_endpoint().port()},
            [this] { ++this->refusals; })) {
    this->context.run_for(std::chrono::milliseconds(50));
  }

  // Returns when the watch has no operation pending any more.
  void RunUntilIdle() {
    this->context.restart();
    this->context.run();
  }

  int refusals = 0;
  boost::asio::io_context context{1};
  Tcp::acceptor listener;
  std::shared_ptr<EndpointWatch> watch;
};

// A process that is being killed may still listen at the first attempt.
TEST_F(EndpointWatchTest, CallsBackOnceAfterTheListenerHasClosed) {
  EXPECT_EQ(this->refusals, 0);
  this->listener.close();
  this->RunUntilIdle();
  EXPECT_EQ(this->refusals, 1);
}

TEST_F(EndpointWatchTest, DoesNotCallBackAfterStop) {
  this->watch->Stop();
  this->listener.close();
  this->RunUntilIdle();
  EXPECT_EQ(this->refusals, 0);
}

}  // namespace
}  // namespace dandelionspur
