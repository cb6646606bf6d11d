#include "libraries/configuration/stored_document.h"

#include <gtest/gtest.h>

#include <string>

namespace dandelionspur {
namespace {

struct StoredDocumentCase {
  std::string name;
  std::string text;
  bool parses;
};

class StoredDocumentTest : public testing::TestWithParam<StoredDocumentCase> {};

TEST_P(StoredDocumentTest, ReturnsNothingForATextOfANewerRelease) {
  const VersionedDocument stored{ServiceName("s"), DocumentVersion(3),
                                 this->GetParam().text};
  const std::optional<ServiceDocument> parsed = ParseStoredDocument(stored);
  ASSERT_EQ(parsed.has_value(), this->GetParam().parses);
  if (!parsed) return;
  EXPECT_EQ(parsed->service, stored.service);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, StoredDocumentTest,
    testing::Values(
        StoredDocumentCase{"Valid", R"({"service": "s", "owner": "o"})", true},
        StoredDocumentCase{
            "UnknownField",
            R"({"service": "s", "owner": "o", "field_of_newer_release": 1})",
            false},
        StoredDocumentCase{"NoJson", "{", false}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace dandelionspur
