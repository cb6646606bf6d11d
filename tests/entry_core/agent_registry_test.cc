#include "libraries/entry_core/agent_registry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace dandelionspur {
namespace {

const AgentId kFormer(100);
const AgentId kPresent(200);

// Registrations of two processes at one address, in the order in which they are
// read.
struct RegistrationCase {
  std::string name;
  AgentId first;
  AgentId second;
  bool first_is_known_before;
  // Whether the one that registers first is connected when the other does.
  bool first_is_connected;
  std::vector<AgentId> replaced;
};

class RegistrationTest : public testing::TestWithParam<RegistrationCase> {};

AgentDescription DescriptionOf(AgentId agent) {
  AgentDescription description;
  description.agent = agent;
  description.service = ServiceName("s");
  description.admin_endpoint = {"127.0.0.1", 80};
  return description;
}

// Guards against two runs of one task: the registration of a former process
// that was read late marked the present one, which runs tasks, as ended.
TEST_P(RegistrationTest, ProvesOnlyAFormerProcessDead) {
  const RegistrationCase& tested = this->GetParam();
  AgentRegistry registry;
  if (tested.first_is_known_before) {
    registry.Register(DescriptionOf(tested.second));
  }
  for (const AgentId ended : registry.Register(DescriptionOf(tested.first))) {
    registry.MarkLost(ended, true, Timestamp());
  }
  registry.Find(tested.first)->connected = tested.first_is_connected;
  EXPECT_EQ(registry.Register(DescriptionOf(tested.second)), tested.replaced);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, RegistrationTest,
    testing::Values(
        RegistrationCase{"InOrder", kFormer, kPresent, false, true, {kFormer}},
        RegistrationCase{
            "FormerIsReadAgain", kPresent, kFormer, true, true, {}},
        RegistrationCase{
            "FormerIsReadLate", kPresent, kFormer, false, true, {}},
        RegistrationCase{
            "ClockWasSetBack", kPresent, kFormer, false, false, {kPresent}}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
