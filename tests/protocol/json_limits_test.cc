#include <gtest/gtest.h>

#include <array>
#include <string>

#include "libraries/protocol/parse_json.h"

namespace dandelionspur {
namespace {

using nlohmann::json;

constexpr std::size_t kValues = 10;
constexpr std::size_t kTextBytes = 20;
constexpr std::array<std::string_view, 3> kBodies = {"tasks", kAnyItem, "body"};

JsonLimits SmallLimits() {
  JsonLimits limits;
  limits.values = kValues;
  limits.text_path = kBodies;
  limits.text_bytes = kTextBytes;
  return limits;
}

// Returns the value, or the problem as a string.
json ParsedOrProblem(const std::string& text, const JsonLimits& limits) {
  return OrElse(
      [&]() -> Result<json> {
        return ParseJson(text, "text", JsonComments::kIgnored, limits);
      },
      [](const std::string& problem) { return json(problem); });
}

std::string Repeated(const std::string& item, std::size_t count) {
  std::string list;
  for (std::size_t i = 0; i < count; ++i) list += (i == 0 ? "" : ",") + item;
  return list;
}

struct ValuesCase {
  const char* name;
  // With '@' in place of the items.
  std::string text;
  std::string item;
  // The most items that are within the limit.
  std::size_t most;
};

class JsonValuesTest : public testing::TestWithParam<ValuesCase> {
 protected:
  static std::string Filled(std::size_t count) {
    std::string text = GetParam().text;
    return text.replace(text.find('@'), 1, Repeated(GetParam().item, count));
  }
};

// Guards against a short text whose values take many times its size.
TEST_P(JsonValuesTest, RefusesOneValueMoreThanTheMaximum) {
  const std::size_t most = GetParam().most;
  EXPECT_FALSE(ParsedOrProblem(Filled(most), SmallLimits()).is_string());
  EXPECT_EQ(ParsedOrProblem(Filled(most + 1), SmallLimits()),
            "text: not valid JSON: more than 10 values");
}

INSTANTIATE_TEST_SUITE_P(
    Texts, JsonValuesTest,
    testing::Values(ValuesCase{"Numbers", "[@]", "1", 9},
                    ValuesCase{"Arrays", "[@]", "[]", 9},
                    ValuesCase{"Nested", "[@]", "[[]]", 4},
                    ValuesCase{"Members", "{@}", R"("a":null)", 9},
                    ValuesCase{"Objects", "[@]", R"({"a":"b"})", 4},
                    ValuesCase{"TextsKept", R"({"tasks":[@]})",
                               R"({"body":[[],[],[],1]})", 4},
                    ValuesCase{"TextsBesideThePath", R"({"tasks":[{"x":[@]}]})",
                               "1", 6}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct TextCase {
  const char* name;
  std::string body;
  std::string text;
};

class JsonTextTest : public testing::TestWithParam<TextCase> {};

TEST_P(JsonTextTest, IsKeptInPlaceOfItsValue) {
  const json parsed = ParsedOrProblem(
      R"({"tasks":[{"body":)" + GetParam().body + "}]}", SmallLimits());
  ASSERT_TRUE(parsed.is_object()) << parsed;
  EXPECT_EQ(parsed["tasks"][0]["body"], GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, JsonTextTest,
    testing::Values(
        TextCase{"Text", R"("a\n\"b")", "a\n\"b"},
        TextCase{"LongText", '"' + std::string(30, 'a') + '"',
                 std::string(30, 'a')},
        TextCase{"Number", "12", "12"}, TextCase{"Digits", "1.50e3", "1.50e3"},
        TextCase{"LargeNumber", "123456789012345678901",
                 "123456789012345678901"},
        TextCase{"Literals", "[true, false,null]", "[true,false,null]"},
        TextCase{"Spaces", "[ 1 , { } , [ ] ]", "[1,{},[]]"},
        TextCase{"Comments", "[1 /* one */, 2]", "[1,2]"},
        TextCase{"Order", R"({"b":1,"a":{"c":2}})", R"({"b":1,"a":{"c":2}})"},
        TextCase{"Escapes", R"(["\u0001\t\"\\"])", R"(["\u0001\t\"\\"])"},
        TextCase{"OtherLetters", "[\"\xc3\xa9\\u00e9\"]",
                 "[\"\xc3\xa9\xc3\xa9\"]"},
        TextCase{"LongerThanTheLimit", "[" + Repeated("1", 100) + "]",
                 "[1,1,1,1,1,1,1,1,1,1,"}),
    [](const auto& tested) { return std::string(tested.param.name); });

TEST(JsonLimitsTest, CountsTheNestingOfTexts) {
  const std::string nested = std::string(kMaximumJsonDepth - 3, '[') +
                             std::string(kMaximumJsonDepth - 3, ']');
  const std::string begin = R"({"tasks":[{"body":)";
  EXPECT_TRUE(
      ParsedOrProblem(begin + nested + "}]}", SmallLimits()).is_object());
  EXPECT_EQ(ParsedOrProblem(begin + "[" + nested + "]}]}", SmallLimits()),
            "text: not valid JSON: nested too deeply");
}

TEST(JsonLimitsTest, TheLastMemberOfAnObjectCounts) {
  EXPECT_EQ(ParsedOrProblem(R"({"a":1,"a":[2]})", SmallLimits()),
            json::parse(R"({"a":[2]})"));
}

}  // namespace
}  // namespace dandelionspur
