#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_OBJECT_READER_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_OBJECT_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// The range of values that an integer field allows; both bounds are inclusive.
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

inline constexpr IntegerRange kPortRange{1, 65535};

// kRefused: the whole text is ours, so an unknown field is a mistake.
// kIgnored: another program writes the text; it may have fields that are not
// read, and null for an empty list.
enum class UnknownFields { kRefused, kIgnored };

// Parses JSON with comments. Errors name the text by `source`.
Result<nlohmann::json> ParseJsonWithComments(std::string_view text,
                                             const std::string& source);
// Errors name the file by `path`.
Result<std::string> ReadFile(const std::string& path);

// Reads and checks the fields of one JSON object. Stores the first problem as a
// one-line message that names the source, the field and the allowed values.
// Finish() returns that problem, or reports a field that was never read.
class ObjectReader {
 public:
  // `object` must outlive the reader.
  ObjectReader(std::string source_name, std::string field_path,
               const nlohmann::json& object,
               UnknownFields policy = UnknownFields::kRefused);

  std::int64_t Integer(const std::string& name, IntegerRange range);
  std::int64_t IntegerOr(const std::string& name, IntegerRange range,
                         std::int64_t fallback);
  // Reads an integer that is not negative.
  std::uint64_t Unsigned(
      const std::string& name,
      std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max());
  std::uint64_t UnsignedOr(const std::string& name, std::uint64_t maximum,
                           std::uint64_t fallback);
  bool BooleanOr(const std::string& name, bool fallback);
  // Reads a number that may have a fraction and returns it in thousandths.
  // `range` and `fallback` are in thousandths.
  std::int64_t ThousandthsOr(const std::string& name, IntegerRange range,
                             std::int64_t fallback);
  // Reads an integer field given in milliseconds; `range` is in milliseconds.
  Duration Milliseconds(const std::string& name, IntegerRange range);
  Duration MillisecondsOr(const std::string& name, IntegerRange range,
                          Duration fallback);
  // Reads a field given in seconds, which may have a fraction; `range` is in
  // milliseconds.
  Duration SecondsOr(const std::string& name, IntegerRange range,
                     Duration fallback);
  // Reads a string, which must not be empty.
  std::string Text(const std::string& name);
  std::string TextOr(const std::string& name, std::string fallback);
  // Reads a string, which may be empty.
  std::string AnyTextOr(const std::string& name, std::string fallback);
  // Reads a list of strings, which may be empty; none if the field is missing.
  std::vector<std::string> Texts(const std::string& name);
  // Returns the index of the field's value in `allowed`.
  std::size_t ChoiceOr(const std::string& name,
                       const std::vector<std::string>& allowed,
                       std::size_t fallback);
  // Returns a reader of a nested object, which is taken to be empty if the
  // field is missing or not an object.
  ObjectReader Object(const std::string& name);
  // Returns a reader for each object in a list.
  std::vector<ObjectReader> Objects(const std::string& name);
  // Returns a reader for each row of a list of arrays, whose items have the
  // names `columns_read`, which must outlive the readers.
  std::vector<ObjectReader> Rows(
      const std::string& name, std::span<const std::string_view> columns_read);
  [[nodiscard]] bool Has(const std::string& name) const;
  [[nodiscard]] bool IsText(const std::string& name) const;
  // Marks a field as known although it is not read through this reader.
  void IgnoreField(const std::string& name) {
    this->known_fields.push_back(name);
  }
  // Checks a nested reader for unknown fields and adopts its first problem
  // unless this reader already has one.
  void FinishNested(ObjectReader& nested);
  // Stores a problem with a field unless there is an earlier one.
  void ReportProblem(const std::string& name, const std::string& what);
  // Checks for unknown fields; fails with the first problem, if any.
  Result<void> Finish();

 private:
  // Returns null if the field is missing, not a list or null.
  const nlohmann::json* List(const std::string& name, const std::string& what);
  const nlohmann::json* Field(const std::string& name);
  const nlohmann::json* RequiredField(const std::string& name);
  std::int64_t ReadThousandths(const std::string& what, const std::string& name,
                               IntegerRange range, std::int64_t fallback);
  void CheckUnknownFields();

  std::string source;
  std::string path;
  UnknownFields unknown_fields;
  const nlohmann::json* fields;
  // The names of the items, if `fields` is an array.
  std::span<const std::string_view> columns;
  std::vector<std::string> known_fields;
  std::optional<std::string> problem;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_OBJECT_READER_H_
