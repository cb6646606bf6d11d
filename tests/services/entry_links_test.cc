#include "services/entry/entry_links.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kMessages = 20;
constexpr std::chrono::seconds kMaximumWait{10};

// Returns a port that nothing listens on.
std::uint16_t UnusedPort() {
  asio::io_context context;
  const Tcp::acceptor acceptor(
      context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

// Collects the names of the events that the links emit, in order.
class EventLog {
 public:
  void Add(const EntryEvent& event) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->kinds.emplace_back(
        std::visit([](const auto& seen) { return seen.kName; }, event));
    this->added.notify_all();
  }
  std::vector<std::string> WaitFor(std::size_t events) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->added.wait_for(lock, kMaximumWait,
                         [&] { return this->kinds.size() >= events; });
    return this->kinds;
  }

 private:
  std::mutex mutex;
  std::condition_variable added;
  std::vector<std::string> kinds;
};

// Guards against events of one connection that are reordered because they are
// dispatched directly: an agent's messages must come after AgentConnected and
// before AgentDisconnected, even if all bytes arrive with one read.
TEST(EntryLinksTest, EventsOfOneReadComeInOrder) {
  EventLog events;
  Metrics metrics;
  ThreadGroup threads(1);
  EntrySettings settings;
  settings.peers = {"127.0.0.1", UnusedPort()};
  std::unique_ptr<EntryLinks> links;
  const std::string problem = OrElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_ASSIGN(
            links, EntryLinks::Create(
                       settings, EntryId(1), threads.First(), threads, metrics,
                       [&](const EntryEvent& event) { events.Add(event); }));
        return std::string();
      },
      [](const std::string& message) { return message; });
  ASSERT_EQ(problem, "");

  std::string bytes = EncodeFrame(
      WireCodec::ToMessagePack(Hello{ProcessRole::kAgent, /*id=*/7}));
  const std::string message =
      EncodeFrame(WireCodec::ToMessagePack(AgentMessage(AgentHeartbeat{})));
  std::vector<std::string> expected = {AgentConnected::kName};
  for (std::size_t i = 0; i < kMessages; ++i) {
    bytes += message;
    expected.emplace_back(AgentMessageReceived::kName);
  }
  expected.emplace_back(AgentDisconnected::kName);
  asio::io_context context;
  Tcp::socket agent(context);
  agent.connect({asio::ip::address_v4::loopback(), settings.peers.port});
  asio::write(agent, asio::buffer(bytes));
  agent.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(events.WaitFor(expected.size()), expected);
  threads.Stop();
}

}  // namespace
}  // namespace dandelionspur
