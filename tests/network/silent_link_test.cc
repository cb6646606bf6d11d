#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/network/link.h"
#include "libraries/network/link_liveness.h"
#include "libraries/protocol/codec.h"
#include "libraries/protocol/frame.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::uint64_t kEntry = 7;
constexpr std::uint64_t kAgent = 8;
constexpr milliseconds kHeartbeatInterval{150};
// All bounds of one replacement, and as much again for a busy machine.
constexpr milliseconds kReplacementTime{2000};

// The process that a dialer connects to. Its kernel acknowledges everything.
class PeerStandIn {
 public:
  explicit PeerStandIn(asio::io_context& context)
      : acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    this->Accept();
  }

  [[nodiscard]] Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  void SendHello(std::size_t connection, bool answers = true) {
    Hello hello{ProcessRole::kEntry, kEntry};
    hello.answers = answers;
    this->Write(connection, WireCodec::ToMessagePack(hello));
  }
  void Write(std::size_t connection, const std::string& body) {
    asio::write(this->connections.at(connection),
                asio::buffer(EncodeFrame(body)));
  }
  // The bytes that have arrived on a connection and were not read.
  std::size_t Unread(std::size_t connection) {
    return this->connections.at(connection).available();
  }
  [[nodiscard]] std::size_t accepted() const {
    return this->connections.size();
  }
  std::function<void(std::size_t connection)> on_accepted = [](std::size_t) {};

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, Tcp::socket socket) {
          if (error) return;
          this->connections.push_back(std::move(socket));
          this->on_accepted(this->connections.size() - 1);
          this->Accept();
        });
  }

  Tcp::acceptor acceptor;
  std::vector<Tcp::socket> connections;
};

// A dialer that sends a heartbeat regularly, as entries and agents do.
class SilentLinkTest : public testing::Test {
 protected:
  SilentLinkTest() {
    LinkHandlers handlers;
    handlers.up = [this](const Hello&, const FrameConnectionPointer& opened) {
      this->events += "up ";
      this->link = opened;
    };
    handlers.frame = [](const Hello&, std::string_view) { return true; };
    handlers.silent = [this](const Hello&, const LinkSilence& seen) {
      this->events += "silent ";
      this->silence = seen;
    };
    handlers.down = [this](const Hello&, const FrameConnectionPointer&) {
      this->events += "down ";
      this->link.reset();
    };
    this->dialer = LinkDialer::Create(
        this->context, this->peer.endpoint(), {ProcessRole::kAgent, kAgent},
        {ProcessRole::kEntry, kEntry}, std::move(handlers));
    this->dialer->Start();
    this->SendHeartbeats();
  }

  ~SilentLinkTest() override {
    this->heartbeats.cancel();
    this->dialer->Stop();
    this->RunFor(milliseconds(10));
  }

  void SendHeartbeats() {
    if (this->link) this->link->Send("heartbeat");
    this->heartbeats.expires_after(kHeartbeatInterval);
    this->heartbeats.async_wait([this](boost::system::error_code error) {
      if (!error) this->SendHeartbeats();
    });
  }

  void RunFor(milliseconds time) {
    this->context.restart();
    this->context.run_for(time);
  }
  void RunUntil(const std::function<bool()>& condition, milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      this->RunFor(milliseconds(5));
    }
  }

  asio::io_context context{1};
  PeerStandIn peer{this->context};
  std::shared_ptr<LinkDialer> dialer;
  asio::steady_timer heartbeats{this->context};
  FrameConnectionPointer link;
  std::string events;
  std::optional<LinkSilence> silence;
};

// Guards against a service that ends for good when connections go silent: the
// peer lives and takes new connections, but nothing more arrives on the link.
TEST_F(SilentLinkTest, LinkOnWhichALivePeerIsSilentIsReplaced) {
  this->peer.on_accepted = [this](std::size_t i) { this->peer.SendHello(i); };
  this->RunUntil([&] { return this->events == "up silent down up "; },
                 kReplacementTime);
  EXPECT_EQ(this->events, "up silent down up ");
  ASSERT_TRUE(this->silence);
  EXPECT_GE(this->silence->last_heard_age, kAnswerLimit);
  EXPECT_GT(this->silence->unanswered_bytes, 0U);
}

// Guards against sound links that are closed in a loop because the peer is
// frozen: its kernel accepts connections and acknowledges bytes.
TEST_F(SilentLinkTest, LinkToAFrozenPeerIsKept) {
  this->peer.on_accepted = [this](std::size_t i) {
    if (i == 0) this->peer.SendHello(i);
  };
  this->RunFor(kReplacementTime);
  EXPECT_EQ(this->events, "up ");
  EXPECT_EQ(this->peer.accepted(), 2U);
}

// The same for a peer that wakes, and then answers its connections in any
// order. It must not take the second connection for a link.
TEST_F(SilentLinkTest, LinkToALatePeerIsKept) {
  asio::steady_timer delay(this->context);
  this->peer.on_accepted = [&](std::size_t i) {
    this->peer.SendHello(i);
    if (i == 0) return;
    delay.expires_after(kAnswerGrace / 2);
    delay.async_wait([&](boost::system::error_code error) {
      if (!error) this->peer.Write(0, "");
    });
  };
  this->RunUntil([&] { return this->peer.accepted() == 2; }, kReplacementTime);
  this->RunFor(std::chrono::duration_cast<milliseconds>(2 * kAnswerGrace));
  EXPECT_EQ(this->events, "up ");
  EXPECT_EQ(this->peer.Unread(1), 0U);
}

// Guards against links to older versions, which don't answer, that are closed
// in a loop.
TEST_F(SilentLinkTest, LinkToAPeerThatDoesNotAnswerByItsHelloIsKept) {
  this->peer.on_accepted = [this](std::size_t i) {
    this->peer.SendHello(i, false);
  };
  this->RunFor(kReplacementTime);
  EXPECT_EQ(this->events, "up ");
  EXPECT_EQ(this->peer.accepted(), 1U);
}

// Guards against a dialer that waits forever for the Hello on a connection that
// went silent while it was opened.
TEST_F(SilentLinkTest, ConnectionWithoutHelloIsReplaced) {
  this->peer.on_accepted = [this](std::size_t i) {
    if (i == 1) this->peer.SendHello(i);
  };
  this->RunUntil(
      [&] { return !this->events.empty(); },
      std::chrono::duration_cast<milliseconds>(kHelloLimit) + kReplacementTime);
  EXPECT_EQ(this->events, "up ");
  EXPECT_EQ(this->peer.accepted(), 2U);
}

// Below the ephemeral port range, so that no outgoing connection uses it.
constexpr std::uint16_t kListenerPort = 21713;

// Guards against sound one-way links that are taken for silent: the acceptor of
// a link between entries sends no message on it.
TEST(AnsweredLinkTest, ALinkOnWhichOnlyTheDialerSendsIsKept) {
  ThreadGroup threads(1);
  std::atomic<int> received{0};
  LinkHandlers accepting;
  accepting.up = [](const Hello&, const FrameConnectionPointer&) {};
  accepting.frame = [&](const Hello&, std::string_view) {
    ++received;
    return true;
  };
  accepting.down = [](const Hello&, const FrameConnectionPointer&) {};
  const auto listener = OrElse(
      [&]() -> Result<std::unique_ptr<LinkListener>> {
        return LinkListener::Create({"127.0.0.1", kListenerPort}, threads,
                                    {ProcessRole::kEntry, kEntry}, accepting);
      },
      [](const std::string&) { return std::unique_ptr<LinkListener>(); });
  ASSERT_TRUE(listener);

  asio::io_context context{1};
  FrameConnectionPointer link;
  int closed = 0;
  int delivered = 0;
  LinkHandlers dialing;
  dialing.up = [&](const Hello&, const FrameConnectionPointer& opened) {
    link = opened;
  };
  dialing.frame = [&](const Hello&, std::string_view) {
    ++delivered;
    return true;
  };
  dialing.down = [&](const Hello&, const FrameConnectionPointer&) { ++closed; };
  const auto dialer = LinkDialer::Create(
      context, {"127.0.0.1", kListenerPort}, {ProcessRole::kEntry, kAgent},
      {ProcessRole::kEntry, kEntry}, dialing);
  dialer->Start();
  const auto end = std::chrono::steady_clock::now() + kReplacementTime;
  while (std::chrono::steady_clock::now() < end) {
    context.restart();
    context.run_for(kHeartbeatInterval);
    if (link) link->Send("heartbeat");
  }
  EXPECT_EQ(closed, 0);
  EXPECT_EQ(delivered, 0);
  EXPECT_GT(received, 0);
  dialer->Stop();
  context.restart();
  context.run_for(milliseconds(10));
  threads.Stop();
}

}  // namespace
}  // namespace dandelionspur
