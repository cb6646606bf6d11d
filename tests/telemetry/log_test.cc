#include "libraries/telemetry/log.h"

#include <gtest/gtest.h>

#include <limits>

namespace dandelionspur {
namespace {

BOOST_DEFINE_ENUM_CLASS(Colour, kRed, kDarkBlue)

struct Sample {
  static constexpr const char* kName = "sample";
  std::string text;
  Duration waited_ms{};
  Colour colour = Colour::kRed;
  bool late = false;
  std::uint64_t count = 0;
};
BOOST_DESCRIBE_STRUCT(Sample, (), (text, waited_ms, colour, late, count))

struct LineCase {
  const char* name;
  Sample sample;
  const char* fields;
};

class LogLineTest : public testing::TestWithParam<LineCase> {};

TEST_P(LogLineTest, HasAllFieldsInOrder) {
  const Timestamp at{std::chrono::milliseconds(1'764'840'245'007)};
  EXPECT_EQ(LogLine("entry", this->GetParam().sample, at),
            std::string("time=2025-12-04T09:24:05.007Z program=entry "
                        "event=sample ") +
                this->GetParam().fields + "\n");
}

INSTANTIATE_TEST_SUITE_P(
    Values, LogLineTest,
    testing::Values(
        LineCase{
            "Plain",
            {"abc", std::chrono::microseconds(12'999), Colour::kRed, false, 7},
            "text=abc waited_ms=12 colour=red late=no count=7"},
        LineCase{"Empty",
                 {},
                 "text=\"\" waited_ms=0 colour=red late=no "
                 "count=0"},
        LineCase{"Enumerator",
                 {"a", {}, Colour::kDarkBlue, true, 0},
                 "text=a waited_ms=0 colour=dark_blue late=yes count=0"},
        // Text from a caller can't add a line or a field.
        LineCase{"Quoted",
                 {"a b=\"c\"\nevent=x\\", {}, Colour::kRed, false, 0},
                 "text=\"a b=\\\"c\\\" event=x\\\\\" waited_ms=0 colour=red "
                 "late=no count=0"},
        // Readers of the log need not cope with bytes that are no text.
        LineCase{"Bytes",
                 {std::string("a\0\x7f\xff", 4), {}, Colour::kRed, false, 0},
                 "text=\"a\\x00\\x7f\\xff\" waited_ms=0 colour=red late=no "
                 "count=0"},
        LineCase{"Utf8",
                 {"größe", {}, Colour::kRed, false, 0},
                 "text=\"größe\" waited_ms=0 colour=red late=no count=0"}),
    [](const auto& instance) { return std::string(instance.param.name); });

// Guards against a caller's long text that fills the log.
TEST(QuotedTest, LongValueIsCut) {
  constexpr std::size_t kMaximumLineField = 5'000;
  const std::string text = Quoted(std::string(100'000, '\xff'));
  EXPECT_LT(text.size(), kMaximumLineField);
  EXPECT_TRUE(text.ends_with("...\"")) << text.substr(text.size() - 10);
  EXPECT_TRUE(Quoted(std::string(100'000, 'a')).ends_with("...\""));
}

constexpr Timestamp kStart{std::chrono::seconds(1'000)};

TEST(LineBudgetTest, EachCategoryHasItsShare) {
  LineBudget budget(100);
  const auto admitted = [&](LogCategory log_category) {
    int count = 0;
    while (budget.Admit(log_category, 1, kStart)) ++count;
    return count;
  };
  // A burst in one category doesn't use the share of another.
  EXPECT_EQ(admitted(LogCategory::kDetail), 20);
  EXPECT_EQ(admitted(LogCategory::kFailure), 50);
  EXPECT_EQ(admitted(LogCategory::kBelief), 30);
}

TEST(LineBudgetTest, RefillsUpToTheBudgetOfOneSecond) {
  LineBudget budget(100);
  EXPECT_TRUE(budget.Admit(LogCategory::kFailure, 50, kStart));
  EXPECT_FALSE(budget.Admit(LogCategory::kFailure, 1, kStart));
  const Timestamp soon = kStart + std::chrono::milliseconds(100);
  EXPECT_TRUE(budget.Admit(LogCategory::kFailure, 5, soon));
  EXPECT_FALSE(budget.Admit(LogCategory::kFailure, 1, soon));
  const Timestamp late = kStart + std::chrono::hours(1);
  EXPECT_FALSE(budget.Admit(LogCategory::kFailure, 51, late));
  EXPECT_TRUE(budget.Admit(LogCategory::kFailure, 50, late));
}

TEST(LineBudgetTest, AdmitsGroupsOfLinesAsAWhole) {
  LineBudget budget(100);
  EXPECT_TRUE(budget.Admit(LogCategory::kFailure, 48, kStart));
  EXPECT_FALSE(budget.Admit(LogCategory::kFailure, 3, kStart));
  EXPECT_TRUE(budget.Admit(LogCategory::kFailure, 2, kStart));
}

TEST(LineBudgetTest, AdmitsNothingWithoutABudget) {
  LineBudget budget(0);
  EXPECT_FALSE(budget.Admit(LogCategory::kBelief, 1, kStart));
}

TEST(LogTest, SuppressedLinesAreCountedByKind) {
  InitializeLogging("test");
  ConfigureLogging({10, 0});
  testing::internal::CaptureStdout();
  for (int i = 0; i < 40; ++i) {
    LogEvent(LogCategory::kFailure, Sample{"x"}, kStart);
  }
  FlushLog();
  FinishLog();
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_NE(output.find("event=sample"), std::string::npos) << output;
  EXPECT_NE(output.find("event=lines_left_out kind=sample count=35"),
            std::string::npos)
      << output;
  EXPECT_EQ(GetLogCounts().written, 5U);
  EXPECT_EQ(GetLogCounts().suppressed, 35U);
}

}  // namespace
}  // namespace dandelionspur
