#include "services/agent/agent_links.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t kEntry = 7;
constexpr std::size_t kMessages = 20;
constexpr std::chrono::seconds kMaximumWait{10};

// Collects the names of the events that the links emit, in order.
class EventLog {
 public:
  void Add(const AgentEvent& event) {
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

// Guards against a promise that an agent never makes: the request that an entry
// sends at once arrived before the event of its connection, the core had no
// connection to answer on, and the entry's jobs waited for ever.
TEST(AgentLinksTest, MessagesComeAfterTheirConnection) {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  EventLog events;
  Metrics metrics;
  ThreadGroup threads(1);
  AgentLinks links(AgentId(1), threads.First(), threads, metrics,
                   [&](const AgentEvent& event) { events.Add(event); });
  View view;
  ViewMember member;
  member.entry = EntryId(kEntry);
  member.peer_endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
  view.members.push_back(member);
  asio::post(threads.First(), [&] { links.ConnectToMembers(view); });

  Tcp::socket entry = acceptor.accept();
  std::string bytes =
      EncodeFrame(WireCodec::ToMessagePack(Hello{ProcessRole::kEntry, kEntry}));
  const std::string message = EncodeFrame(
      WireCodec::ToMessagePack(EntryToAgentMessage(PromiseRequest{})));
  std::vector<std::string> expected = {EntryConnected::kName};
  for (std::size_t i = 0; i < kMessages; ++i) {
    bytes += message;
    expected.emplace_back(EntryMessageReceived::kName);
  }
  asio::write(entry, asio::buffer(bytes));
  EXPECT_EQ(events.WaitFor(expected.size()), expected);
  threads.Stop();
}

}  // namespace
}  // namespace dandelionspur
