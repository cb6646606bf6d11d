#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "tests/support/entry_mesh.h"

namespace dandelionspur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kRoutes = 400;

// Entries, and routes of the document.
struct SpreadCase {
  std::uint32_t entries = 0;
  std::uint32_t routes = 0;
};

class DocumentSpreadTest : public testing::TestWithParam<SpreadCase> {};

INSTANTIATE_TEST_SUITE_P(Sizes, DocumentSpreadTest,
                         testing::Values(SpreadCase{8, kRoutes},
                                         SpreadCase{35, kRoutes}),
                         [](const testing::TestParamInfo<SpreadCase>& sizes) {
                           return std::to_string(sizes.param.entries) +
                                  "Entries";
                         });

// Guards against entries that send each other documents which all of them read
// from the table: a change cost the document times the square of the members.
TEST_P(DocumentSpreadTest, AChangeThatAllReadCostsNoCopyOfTheDocument) {
  constexpr std::uint64_t kChanges = 10;
  constexpr std::uint64_t kMaximumBytes = 200;
  EntryMesh mesh(GetParam().entries);
  mesh.WriteDocument(DocumentWithRoutes(1, GetParam().routes));
  mesh.Advance(seconds(10));
  const std::uint64_t begun = mesh.bytes_sent();
  mesh.Advance(seconds(kChanges));
  const std::uint64_t unchanged = mesh.bytes_sent() - begun;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    mesh.WriteDocument(DocumentWithRoutes(2 + i, GetParam().routes));
    mesh.Advance(seconds(1));
    for (std::size_t entry = 0; entry < mesh.size(); ++entry) {
      ASSERT_EQ(mesh.VersionAt(entry), DocumentVersion(2 + i));
    }
  }
  const std::uint64_t changed = mesh.bytes_sent() - begun - unchanged;
  const std::uint64_t extra = changed > unchanged ? changed - unchanged : 0;
  const std::uint64_t each = extra / kChanges / mesh.size();
  std::cout << "bytes a member a change: " << each << "\n";
  RecordProperty("bytes_a_member_a_change", std::to_string(each));
  EXPECT_LE(each, kMaximumBytes);
}

}  // namespace
}  // namespace dandelionspur
