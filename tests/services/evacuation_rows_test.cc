#include "services/entry/evacuation_rows.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace dandelionspur {
namespace {

// One answer of the table service: the body, and whether it has all rows.
struct Answer {
  std::string body;
  bool is_whole_table = false;
};

struct RowsCase {
  const char* name;
  std::vector<Answer> answers;
  // The set after the last answer that concerned it.
  std::uint64_t version;
  std::vector<std::string> names;
};

class EvacuationRowsTest : public testing::TestWithParam<RowsCase> {};

RowChanges ChangesOf(const Answer& answer) {
  return OrElse(
      [&]() -> Result<RowChanges> {
        BOOST_LEAF_AUTO(page, DecodeRows(answer.body));
        page.changes.is_whole_table = answer.is_whole_table;
        return page.changes;
      },
      [](const std::string&) { return RowChanges(); });
}

// Guards against an evacuation that is missed, since its row is odd, and
// against one that stays, since its row was removed while the history was gone.
TEST_P(EvacuationRowsTest, TheKeysOfTheRowsNameTheDataCentres) {
  EvacuationRows rows;
  EvacuationSet known;
  for (const Answer& answer : GetParam().answers) {
    if (const auto read = rows.Apply(ChangesOf(answer))) known = *read;
  }
  const std::vector<DataCentreName> expected(GetParam().names.begin(),
                                             GetParam().names.end());
  EXPECT_EQ(known.version, EvacuationVersion(GetParam().version));
  EXPECT_EQ(known.data_centres, expected);
}

Answer Whole(const std::string& rows) {
  return {R"({"schema_version":5,"rows":[)" + rows + "]}", true};
}

Answer Feed(std::uint64_t revision, const std::string& rows) {
  return {R"({"schema_version":)" + std::to_string(revision) + R"(,"rows":[)" +
              rows + "]}",
          false};
}

const std::string kZoneA =
    R"({"key":"evacuate/a","schema_version":4,"value":"e30="})";
const std::string kZoneB =
    R"({"key":"evacuate/b","schema_version":7,"value":""})";
const std::string kOther =
    R"({"key":"config","schema_version":8,"value":"e30="})";
const std::string kRemovedA = R"({"key":"evacuate/a","deleted":true})";

INSTANTIATE_TEST_SUITE_P(
    Answers, EvacuationRowsTest,
    testing::Values(
        RowsCase{"None", {Whole(kOther)}, 5, {}},
        RowsCase{"AtTheStart", {Whole(kZoneA + "," + kOther)}, 5, {"a"}},
        RowsCase{"Second", {Whole(kZoneA), Feed(9, kZoneB)}, 9, {"a", "b"}},
        RowsCase{"Removed", {Whole(kZoneA), Feed(9, kRemovedA)}, 9, {}},
        RowsCase{"WrittenAndRemoved",
                 {Whole(""), Feed(9, kZoneA + "," + kRemovedA)},
                 9,
                 {}},
        RowsCase{"OtherRowsConcernNobody",
                 {Whole(kZoneA), Feed(9, kOther)},
                 5,
                 {"a"}},
        RowsCase{"RemovedWithTheHistory", {Feed(4, kZoneA), Whole("")}, 5, {}},
        RowsCase{
            "ValueIsNoBase64",
            {Whole(R"({"key":"evacuate/a","schema_version":4,"value":"*"})")},
            5,
            {"a"}},
        RowsCase{"ValueIsMissing",
                 {Whole(R"({"key":"evacuate/a","schema_version":4})")},
                 5,
                 {"a"}},
        RowsCase{"VersionIsText",
                 {Whole(R"({"key":"evacuate/a","schema_version":"4"})")},
                 5,
                 {"a"}},
        RowsCase{
            "NameIsMissing",
            {Whole(R"({"key":"evacuate/","schema_version":4,"value":""})")},
            5,
            {}}),
    [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace dandelionspur
