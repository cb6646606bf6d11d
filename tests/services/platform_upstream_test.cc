#include "services/agent/platform_upstream.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <future>

namespace dandelionspur {
namespace {

constexpr std::chrono::seconds kLongEnough{5};

AgentSettings Settings() {
  AgentSettings settings;
  settings.announcements = Endpoint{"127.0.0.1", 0};
  settings.lease = std::chrono::seconds(1);
  return settings;
}

struct BodyCase {
  const char* name;
  std::string body;
  UpstreamResult result;
};

class PlatformUpstreamBodyTest : public testing::TestWithParam<BodyCase> {
 protected:
  ~PlatformUpstreamBodyTest() override { this->thread.Stop(); }

  // Runs a task and returns its result.
  UpstreamResult Run(const std::string& body) {
    auto upstream = OrElse(
        [&] {
          return PlatformUpstream::Create(
              Settings(), this->thread, this->metrics,
              [this](const AgentEvent& event) { this->Note(event); },
              [] { return LeaseRenewal::kAllowed; });
        },
        [](const std::string&) { return std::unique_ptr<PlatformUpstream>(); });
    if (upstream == nullptr) return UpstreamResult::kBroken;
    std::future<UpstreamResult> result = this->completed.get_future();
    boost::asio::post(this->thread.First(), [&upstream, body] {
      RunOnUpstream task;
      task.job_name = "k\xff";
      task.body = Payload::FromBytes(body);
      task.time_left = kLongEnough;
      upstream->Run(task);
    });
    const bool has_ended =
        result.wait_for(kLongEnough) == std::future_status::ready;
    this->thread.Stop();
    return has_ended ? result.get() : UpstreamResult::kBroken;
  }

  void Note(const AgentEvent& event) {
    const auto* end = std::get_if<UpstreamTaskCompleted>(&event);
    if (end != nullptr) this->completed.set_value(end->result);
  }

  Metrics metrics;
  ThreadGroup thread{1};
  std::promise<UpstreamResult> completed;
};

// Guards against an agent that ends by an exception: an entry of an older
// version may send a body that the upstream's protocol can't carry.
TEST_P(PlatformUpstreamBodyTest, IsNotRunIfItCannotBeCarried) {
  EXPECT_EQ(this->Run(this->GetParam().body), this->GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, PlatformUpstreamBodyTest,
    testing::Values(
        // No upstream has announced itself.
        BodyCase{"Text", "größe", UpstreamResult::kNotSent},
        BodyCase{"NoText", "\x89PNG", UpstreamResult::kCannotCarry}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
