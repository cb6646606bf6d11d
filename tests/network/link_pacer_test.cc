#include "libraries/network/link_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kRate = 100'000;
constexpr std::size_t kMessage = 1'000;

TEST(LinkPacerTest, MessagesBelowTheRateAreSentAtOnce) {
  boost::asio::io_context thread;
  LinkPacer pacer(thread, kRate);
  int sent = 0;
  pacer.Send(kMessage, [&] { ++sent; });
  EXPECT_EQ(sent, 1);
  EXPECT_EQ(pacer.backlog(), 0U);
}

// Guards against a process that hands its link more than it carries: what is
// sent next, such as a heartbeat, then waits behind all of it.
TEST(LinkPacerTest, ABurstLeavesAtTheRateAndInOrder) {
  constexpr int kMessages = 30;
  boost::asio::io_context thread;
  LinkPacer pacer(thread, kRate);
  std::vector<int> sent;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kMessages; ++i) {
    pacer.Send(kMessage, [&sent, i] { sent.push_back(i); });
  }
  EXPECT_LT(sent.size(), 10U);
  EXPECT_GT(pacer.Delay(), milliseconds(150));
  thread.run();
  const auto took = std::chrono::steady_clock::now() - began;
  ASSERT_EQ(sent.size(), kMessages);
  EXPECT_TRUE(std::is_sorted(sent.begin(), sent.end()));
  // 30 kB, of which 4 kB go at once, take 260 ms at 100 kB a second.
  EXPECT_GE(took, milliseconds(240));
}

TEST(LinkPacerTest, AMessageAboveTheBurstIsSent) {
  boost::asio::io_context thread;
  LinkPacer pacer(thread, kRate);
  int sent = 0;
  pacer.Send(kRate, [&] { ++sent; });
  EXPECT_EQ(sent, 1);
}

}  // namespace
}  // namespace dandelionspur
