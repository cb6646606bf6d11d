#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_PLAIN_OBJECT_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_PLAIN_OBJECT_H_

#include <boost/json/object.hpp>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/time.h"
#include "libraries/configuration/object_reader.h"

namespace dandelionspur {

// Reads the fields of a JSON object as ObjectReader does, but only notes that
// there is a problem, not which. Made for long lists, since nothing is
// allocated for a field that is not a string.
class PlainObject {
 public:
  // `object` must outlive the reader.
  PlainObject(const boost::json::object& object, UnknownFields policy)
      : fields(object), unknown_fields(policy) {}

  std::string Text(std::string_view name);
  std::int64_t IntegerOr(std::string_view name, IntegerRange range,
                         std::int64_t fallback);
  Duration MillisecondsOr(std::string_view name, IntegerRange range,
                          Duration fallback);
  std::int64_t ThousandthsOr(std::string_view name, IntegerRange range,
                             std::int64_t fallback);
  // Whether all fields so far had an allowed value, no field is nested and,
  // unless unknown fields are ignored, there are no others.
  [[nodiscard]] bool IsValid() const;

 private:
  const boost::json::value* Field(std::string_view name);

  const boost::json::object& fields;
  UnknownFields unknown_fields;
  std::size_t known_fields = 0;
  bool has_problem = false;
};

// A reader of the fields of one object, so that both readers share the list of
// fields.
template <typename Reader>
concept ReadsFields = requires(Reader reader, IntegerRange range) {
  { reader.Text("name") } -> std::same_as<std::string>;
  { reader.IntegerOr("name", range, 0) } -> std::same_as<std::int64_t>;
  {
    reader.MillisecondsOr("name", range, Duration())
    } -> std::same_as<Duration>;
  { reader.ThousandthsOr("name", range, 0) } -> std::same_as<std::int64_t>;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_PLAIN_OBJECT_H_
