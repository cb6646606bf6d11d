#include "libraries/network/frame_connection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Frames of the usual size between two processes of the dispatcher, as many as
// one event may cause.
constexpr std::size_t kFrames = 50;
constexpr std::size_t kBodyBytes = 100;
constexpr std::chrono::milliseconds kRunTime{50};

// A FrameConnection and, as its other end, a plain socket.
class FrameConnectionTest : public testing::Test {
 protected:
  FrameConnectionTest() {
    Tcp::acceptor acceptor(this->context,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->other.connect(acceptor.local_endpoint());
    this->connection = FrameConnection::Create(acceptor.accept());
    FrameConnection::Handlers handlers;
    handlers.frame = [this](std::string_view body) {
      this->bodies.emplace_back(body);
      if (body == "close") this->connection->Close();
      return body != "bad";
    };
    handlers.closed = [this](std::optional<FrameError> error) {
      ++this->closed;
      this->close_error = error;
    };
    this->connection->Start(std::move(handlers));
  }

  void WriteFromOther(const std::string& bytes) {
    asio::write(this->other, asio::buffer(bytes));
  }

  // Runs the context for a short time; returns how many handlers ran. Each
  // system call on a socket ends in one.
  std::size_t Run() {
    this->context.restart();
    return this->context.run_for(kRunTime);
  }

  asio::io_context context{1};
  Tcp::socket other{this->context};
  std::shared_ptr<FrameConnection> connection;
  std::vector<std::string> bodies;
  int closed = 0;
  std::optional<FrameError> close_error;
};

// Guards the cost of receiving. Two system calls for each frame, however many
// frames were available, took a tenth of an entry's processor time.
TEST_F(FrameConnectionTest, ReadsManyFramesAtOnce) {
  std::string bytes;
  for (std::size_t i = 0; i < kFrames; ++i) {
    bytes += EncodeFrame(std::string(kBodyBytes, 'x'));
  }
  this->WriteFromOther(bytes);
  const std::size_t handlers = this->Run();
  EXPECT_EQ(this->bodies,
            std::vector<std::string>(kFrames, std::string(kBodyBytes, 'x')));
  EXPECT_LT(handlers, kFrames / 5);
}

TEST_F(FrameConnectionTest, DeliversFrameReceivedInTwoPieces) {
  const std::string frame = EncodeFrame("in two pieces");
  this->WriteFromOther(frame.substr(0, 3));
  this->Run();
  EXPECT_TRUE(this->bodies.empty());
  this->WriteFromOther(frame.substr(3));
  this->Run();
  EXPECT_EQ(this->bodies, std::vector<std::string>{"in two pieces"});
}

// Guards the cost of sending. One handler of the event loop for each frame took
// a tenth of an entry's processor time.
TEST_F(FrameConnectionTest, SendsManyFramesWithoutAHandlerForEach) {
  asio::post(this->context, [this] {
    for (std::size_t i = 0; i < kFrames; ++i) {
      this->connection->Send(std::to_string(i));
    }
  });
  EXPECT_LT(this->Run(), kFrames / 5);
  std::string sent;
  for (std::size_t i = 0; i < kFrames; ++i) {
    sent += EncodeFrame(std::to_string(i));
  }
  std::string received(sent.size(), '\0');
  asio::read(this->other, asio::buffer(received));
  EXPECT_EQ(received, sent);
}

// Guards the order of frames, including large ones, that are sent while earlier
// frames are still being written.
TEST_F(FrameConnectionTest, SendsInOrderWhileWriting) {
  std::string sent;
  for (const std::size_t size : {1, 3'000'000, 2, 1'000'000, 3}) {
    const std::string body(size, static_cast<char>('a' + size % 7));
    sent += EncodeFrame(body);
    this->connection->Send(body);
    this->Run();
  }
  std::string received(sent.size(), '\0');
  std::atomic<bool> all_received{false};
  std::thread reader([&] {
    asio::read(this->other, asio::buffer(received));
    all_received = true;
  });
  while (!all_received) this->Run();
  reader.join();
  EXPECT_TRUE(received == sent);
}

struct CloseCase {
  const char* name;
  std::string bytes;
  std::size_t frames;
  std::optional<FrameError> error;
};

class FrameConnectionCloseTest : public FrameConnectionTest,
                                 public testing::WithParamInterface<CloseCase> {
};

// Guards against frames delivered after the connection has closed, and against
// a `closed` handler that is called twice or with the wrong error.
TEST_P(FrameConnectionCloseTest, IsReportedOnceWithItsError) {
  this->WriteFromOther(this->GetParam().bytes);
  this->other.close();
  this->Run();
  EXPECT_EQ(this->bodies.size(), this->GetParam().frames);
  EXPECT_EQ(this->closed, 1);
  EXPECT_EQ(this->close_error, this->GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Closes, FrameConnectionCloseTest,
    testing::Values(
        CloseCase{"BetweenFrames", EncodeFrame("a") + EncodeFrame("b"), 2, {}},
        CloseCase{"InAHeader", EncodeFrame("a") + std::string(2, '\0'), 1,
                  FrameError::kTruncated},
        CloseCase{"InABody", EncodeFrame("a") + EncodeFrame("b").substr(0, 5),
                  1, FrameError::kTruncated},
        CloseCase{"Malformed", EncodeFrame("bad") + EncodeFrame("unread"), 1,
                  FrameError::kMalformed},
        CloseCase{"OtherVersion", EncodeFrame("a") + std::string(5, '\x7f'), 1,
                  FrameError::kWrongVersion}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against frames delivered to a user that has closed the connection,
// such as frames that follow a rejected Hello.
TEST_F(FrameConnectionTest, NothingIsDeliveredAfterClose) {
  this->WriteFromOther(EncodeFrame("close") + EncodeFrame("bad"));
  this->Run();
  EXPECT_EQ(this->bodies, std::vector<std::string>{"close"});
  EXPECT_EQ(this->closed, 1);
  EXPECT_EQ(this->close_error, std::nullopt);
}

}  // namespace
}  // namespace dandelionspur
