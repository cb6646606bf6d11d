#include "services/runtime/fatal_error.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "libraries/network/thread_group.h"
#include "libraries/telemetry/log.h"
#include "services/runtime/daemon.h"
#include "services/runtime/handler_boundary.h"

namespace dandelionspur {
namespace {

constexpr std::chrono::seconds kLongEnough{5};

[[noreturn]] void Throw() { throw std::logic_error("no home\nfor a task"); }

// A core's step, within the boundary of the handler that has brought the event.
void BreakInACoreStep() {
  Metrics metrics;
  const HandlerBoundary boundary(metrics);
  boundary.Run(HandlerKind::kRequest, [] { RunCoreStep(Throw); });
}

void BreakInAnEventLoop() {
  ThreadGroup threads(1);
  boost::asio::post(threads.First(), Throw);
  std::this_thread::sleep_for(kLongEnough);
}

struct BreakCase {
  const char* name;
  void (*run)();
};

class FatalErrorTest : public testing::TestWithParam<BreakCase> {};

// Guards against a process that runs on with half a change in its core, or that
// ends without a reason in its log.
TEST_P(FatalErrorTest, EndsTheProcessWithTheReasonInItsLastLine) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(
      {
        // The log is on standard output, which the test does not see.
        dup2(STDERR_FILENO, STDOUT_FILENO);
        InitializeLogging("tested");
        EndProcessOnFatalErrors();
        this->GetParam().run();
        std::_Exit(0);
      },
      testing::ExitedWithCode(static_cast<int>(ExitCode::kBroken)),
      "program=tested event=broken reason=\"no home for a task\"\n$");
}

INSTANTIATE_TEST_SUITE_P(
    Places, FatalErrorTest,
    testing::Values(BreakCase{"CoreStep", BreakInACoreStep},
                    BreakCase{"EventLoop", BreakInAnEventLoop}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
