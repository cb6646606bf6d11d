#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_OBJECT_READER_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_OBJECT_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/time.h"

namespace dandelionspur {

// The values that an integer field allows, both ends included.
struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

inline constexpr IntegerRange kPortRange{1, 65535};

// Parses JSON with comments. `source` names the text in errors.
Result<nlohmann::json> ParseJsonWithComments(std::string_view text,
                                             const std::string& source);
Result<std::string> ReadFile(const std::string& path);

// Reads the fields of one JSON object and checks each. The first problem is
// kept, as one line that names the file, the field and what is allowed;
// Finish() returns it, and reports any field that nobody asked for.
class ObjectReader {
 public:
  // `object` must outlive the reader.
  ObjectReader(std::string source_name, std::string field_path,
               const nlohmann::json& object);

  std::int64_t Integer(const std::string& name, IntegerRange range);
  std::int64_t IntegerOr(const std::string& name, IntegerRange range,
                         std::int64_t fallback);
  // A number, whole or with a fraction, in thousandths; the range is in
  // thousandths, too.
  std::int64_t ThousandthsOr(const std::string& name, IntegerRange range,
                             std::int64_t fallback);
  // A field in milliseconds.
  Duration Milliseconds(const std::string& name, IntegerRange range);
  Duration MillisecondsOr(const std::string& name, IntegerRange range,
                          Duration fallback);
  // A field in seconds, whole or with a fraction; the range is in
  // milliseconds.
  Duration SecondsOr(const std::string& name, IntegerRange range,
                     Duration fallback);
  // A string that is not empty.
  std::string Text(const std::string& name);
  std::string TextOr(const std::string& name, std::string fallback);
  // The position of the field's value in `allowed`.
  std::size_t ChoiceOr(const std::string& name,
                       const std::vector<std::string>& allowed,
                       std::size_t fallback);
  // A nested object; an empty one where the field is missing or wrong.
  ObjectReader Object(const std::string& name);
  // A list of objects.
  std::vector<ObjectReader> Objects(const std::string& name);
  [[nodiscard]] bool Has(const std::string& name) const;
  [[nodiscard]] bool IsText(const std::string& name) const;
  // Marks a field as known that the caller reads by itself.
  void IgnoreField(const std::string& name) { this->asked.push_back(name); }
  // Takes over the first problem of a nested reader, after finishing it.
  void Absorb(ObjectReader& nested);
  void Problem(const std::string& name, const std::string& what);
  Result<void> Finish();

 private:
  const nlohmann::json* Field(const std::string& name);
  const nlohmann::json* RequiredField(const std::string& name);
  std::int64_t ThousandthsOf(const std::string& what, const std::string& name,
                             IntegerRange range, std::int64_t fallback);
  void CheckUnknownFields();

  std::string source;
  std::string path;
  const nlohmann::json* fields;
  std::vector<std::string> asked;
  std::optional<std::string> problem;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_OBJECT_READER_H_
