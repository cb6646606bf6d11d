#include "libraries/base/job_key.h"

#include <gtest/gtest.h>

namespace dandelionspur {
namespace {

struct CreationCase {
  const char* name;
  const char* text;
  std::optional<std::int64_t> milliseconds;
};

class CreationTimeTest : public testing::TestWithParam<CreationCase> {};

TEST_P(CreationTimeTest, ReadsUuidVersionSevenOnly) {
  const std::optional<Timestamp> created = CreationTime(this->GetParam().text);
  ASSERT_EQ(created.has_value(), this->GetParam().milliseconds.has_value());
  if (!created) return;
  EXPECT_EQ(
      *created,
      Timestamp(std::chrono::milliseconds(*this->GetParam().milliseconds)));
}

// The first text is the example of RFC 9562, appendix A.6.
INSTANTIATE_TEST_SUITE_P(
    Keys, CreationTimeTest,
    testing::Values(
        CreationCase{"Version7", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
                     1645557742000},
        CreationCase{"Version4", "919108f7-52d1-4320-9bac-f847db4148a8", {}},
        CreationCase{"TooShort", "017F22E2-79B0-7CC3-98C4", {}},
        CreationCase{"NotHex", "017F22E2-79B0-7CC3-98C4-DC0C0C07398Z", {}},
        CreationCase{"FreeText", "hoof-check-20261204", {}}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(JobKeyTest, ServiceAndKeyAreNotInterchangeable) {
  EXPECT_NE(JobKey::FromText(ServiceName("ab"), "c"),
            JobKey::FromText(ServiceName("a"), "bc"));
}

}  // namespace
}  // namespace dandelionspur
