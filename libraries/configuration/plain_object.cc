#include "libraries/configuration/plain_object.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <cmath>
#include <utility>

namespace dandelionspur {
namespace {

// Whether a value is neither nested nor a number beyond the range of a double,
// which ParseJson refuses also in fields that nothing reads.
bool IsPlain(const boost::json::value& value) {
  if (value.is_double()) return std::isfinite(value.get_double());
  return !value.is_structured();
}

}  // namespace

std::string PlainObject::Text(std::string_view name) {
  const boost::json::value* field = this->Field(name);
  const boost::json::string* text =
      field == nullptr ? nullptr : field->if_string();
  if (text == nullptr || text->empty()) {
    this->has_problem = true;
    return {};
  }
  return {text->data(), text->size()};
}

std::int64_t PlainObject::IntegerOr(std::string_view name, IntegerRange range,
                                    std::int64_t fallback) {
  const boost::json::value* field = this->Field(name);
  if (field == nullptr) return fallback;
  // Integers beyond the range of a signed one have another kind.
  const std::int64_t* number = field->if_int64();
  if (number == nullptr || *number < range.minimum || *number > range.maximum) {
    this->has_problem = true;
    return fallback;
  }
  return *number;
}

Duration PlainObject::MillisecondsOr(std::string_view name, IntegerRange range,
                                     Duration fallback) {
  const boost::json::value* field = this->Field(name);
  if (field == nullptr) return fallback;
  --this->known_fields;
  return std::chrono::milliseconds(this->IntegerOr(name, range, 0));
}

std::int64_t PlainObject::ThousandthsOr(std::string_view name,
                                        IntegerRange range,
                                        std::int64_t fallback) {
  constexpr double kThousand = 1000;
  const boost::json::value* field = this->Field(name);
  if (field == nullptr) return fallback;
  const bool is_number = field->is_number();
  const double rounded =
      is_number ? std::round(field->to_number<double>() * kThousand) : -1;
  if (!is_number || rounded < static_cast<double>(range.minimum) ||
      rounded > static_cast<double>(range.maximum)) {
    this->has_problem = true;
    return fallback;
  }
  return static_cast<std::int64_t>(rounded);
}

bool PlainObject::IsValid() const {
  if (this->has_problem) return false;
  const bool is_plain =
      std::all_of(this->fields.begin(), this->fields.end(),
                  [](const auto& field) { return IsPlain(field.value()); });
  if (!is_plain) return false;
  return this->unknown_fields == UnknownFields::kIgnored ||
         this->known_fields == this->fields.size();
}

const boost::json::value* PlainObject::Field(std::string_view name) {
  const boost::json::value* field =
      this->fields.if_contains({name.data(), name.size()});
  if (field != nullptr) ++this->known_fields;
  return field;
}

}  // namespace dandelionspur
