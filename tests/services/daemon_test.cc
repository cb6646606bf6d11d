#include "services/runtime/daemon.h"

#include <gtest/gtest.h>

#include <csignal>

namespace dandelionspur {
namespace {

// Guards against a stop that kills the process, or is forgotten: the signal
// arrives while one server has ended and the next one does not run yet.
TEST(DaemonTest, SignalBetweenTwoRunsStopsTheNext) {
  Lifetime::CatchSignals();
  Lifetime::FinishAfter(std::chrono::microseconds(0), ExitCode::kRemoved,
                        [] {});
  Lifetime::Run([] {}, [] {});
  ASSERT_EQ(Lifetime::Result(), ExitCode::kRemoved);
  EXPECT_FALSE(Lifetime::IsStopRequested());
  ASSERT_EQ(std::raise(SIGTERM), 0);
  EXPECT_TRUE(Lifetime::IsStopRequested());
  bool stopped = false;
  Lifetime::Run(
      [&] {
        stopped = true;
        Lifetime::Finish(ExitCode::kSuccess);
      },
      [] {});
  EXPECT_TRUE(stopped);
  EXPECT_EQ(Lifetime::Result(), ExitCode::kSuccess);
}

}  // namespace
}  // namespace dandelionspur
