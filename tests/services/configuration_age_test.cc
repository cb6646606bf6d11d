#include "services/entry/configuration_age.h"

#include <gtest/gtest.h>

#include <string>

namespace dandelionspur {
namespace {

struct AgeCase {
  const char* name;
  // Versions read after one and two seconds, and in force after three; 0: none.
  std::uint64_t read_first;
  std::uint64_t read_second;
  std::uint64_t in_force;
  std::int64_t age_seconds;
  // Ten seconds after the start.
  std::int64_t lag_seconds;
};

class ConfigurationAgeTest : public testing::TestWithParam<AgeCase> {};

// Guards against a change that isn't in force and that nobody sees from
// outside, and against an alarm where all is in force.
TEST_P(ConfigurationAgeTest, TellsWhatIsNotInForce) {
  const AgeCase& tested = this->GetParam();
  const ServiceName service("s");
  const auto at = [](std::int64_t seconds) {
    return ConfigurationAge::TimePoint(std::chrono::seconds(seconds));
  };
  ConfigurationAge age;
  age.NoteRead(service, DocumentVersion(tested.read_first), at(1));
  age.NoteRead(service, DocumentVersion(tested.read_second), at(2));
  Duration since_read{};
  if (tested.in_force != 0) {
    since_read =
        age.NoteInForce(service, DocumentVersion(tested.in_force), at(3));
  }
  EXPECT_EQ(since_read, std::chrono::seconds(tested.age_seconds));
  EXPECT_EQ(age.Lag(at(10)), std::chrono::seconds(tested.lag_seconds));
  EXPECT_EQ(age.NewestInForce(), DocumentVersion(tested.in_force));
}

INSTANTIATE_TEST_SUITE_P(
    Versions, ConfigurationAgeTest,
    testing::Values(AgeCase{"NothingRead", 0, 0, 0, 0, 0},
                    AgeCase{"InForce", 7, 0, 7, 2, 0},
                    AgeCase{"ReadAgain", 7, 7, 7, 2, 0},
                    AgeCase{"NewestInForce", 7, 8, 8, 1, 0},
                    AgeCase{"NewestNotInForce", 7, 8, 7, 0, 8},
                    AgeCase{"NoneInForce", 7, 8, 0, 0, 8},
                    AgeCase{"OlderReadLater", 8, 7, 0, 0, 9},
                    AgeCase{"FromAnotherEntry", 0, 0, 9, 0, 0},
                    AgeCase{"OlderThanInForce", 7, 0, 9, 0, 0}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
