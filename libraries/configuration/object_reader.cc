#include "libraries/configuration/object_reader.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

#include "libraries/protocol/parse_json.h"

namespace dandelionspur {
namespace {

const nlohmann::json& EmptyObject() {
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

std::string Describe(IntegerRange range) {
  return "an integer from " + std::to_string(range.minimum) + " to " +
         std::to_string(range.maximum);
}

// Formats thousandths as a decimal number, without a fraction if possible.
std::string ThousandthsText(std::int64_t thousandths) {
  constexpr std::int64_t kThousand = 1000;
  if (thousandths % kThousand == 0) {
    return std::to_string(thousandths / kThousand);
  }
  std::ostringstream text;
  text << static_cast<double>(thousandths) / static_cast<double>(kThousand);
  return text.str();
}

}  // namespace

Result<nlohmann::json> ParseJsonWithComments(std::string_view text,
                                             const std::string& source) {
  return ParseJson(text, source, JsonComments::kIgnored);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(path + ": can't be opened");
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

ObjectReader::ObjectReader(std::string source_name, std::string field_path,
                           const nlohmann::json& object, UnknownFields policy)
    : source(std::move(source_name)),
      path(std::move(field_path)),
      unknown_fields(policy),
      fields(&object) {
  if (object.is_object()) return;
  this->fields = &EmptyObject();
  this->problem = this->source + ": " +
                  (this->path.empty() ? "the document" : this->path) +
                  " must be an object";
}

std::int64_t ObjectReader::Integer(const std::string& name,
                                   IntegerRange range) {
  const nlohmann::json* field = this->RequiredField(name);
  if (field == nullptr) return range.minimum;
  // The parser makes all integers but negative ones unsigned.
  const bool is_in_range =
      field->is_number_unsigned()
          ? std::cmp_greater_equal(field->get<std::uint64_t>(),
                                   range.minimum) &&
                std::cmp_less_equal(field->get<std::uint64_t>(), range.maximum)
          : field->is_number_integer() &&
                field->get<std::int64_t>() >= range.minimum &&
                field->get<std::int64_t>() <= range.maximum;
  if (!is_in_range) {
    this->ReportProblem(name, "must be " + Describe(range));
    return range.minimum;
  }
  return field->get<std::int64_t>();
}

std::uint64_t ObjectReader::Unsigned(const std::string& name,
                                     std::uint64_t maximum) {
  const nlohmann::json* field = this->RequiredField(name);
  if (field == nullptr) return 0;
  if (!field->is_number_unsigned() || field->get<std::uint64_t>() > maximum) {
    this->ReportProblem(
        name, "must be an integer from 0 to " + std::to_string(maximum));
    return 0;
  }
  return field->get<std::uint64_t>();
}

std::uint64_t ObjectReader::UnsignedOr(const std::string& name,
                                       std::uint64_t maximum,
                                       std::uint64_t fallback) {
  return this->Field(name) == nullptr ? fallback
                                      : this->Unsigned(name, maximum);
}

bool ObjectReader::BooleanOr(const std::string& name, bool fallback) {
  const nlohmann::json* field = this->Field(name);
  if (field == nullptr) return fallback;
  if (!field->is_boolean()) {
    this->ReportProblem(name, "must be true or false");
    return fallback;
  }
  return field->get<bool>();
}

std::int64_t ObjectReader::IntegerOr(const std::string& name,
                                     IntegerRange range,
                                     std::int64_t fallback) {
  return this->Field(name) == nullptr ? fallback : this->Integer(name, range);
}

Duration ObjectReader::Milliseconds(const std::string& name,
                                    IntegerRange range) {
  return std::chrono::milliseconds(this->Integer(name, range));
}

Duration ObjectReader::MillisecondsOr(const std::string& name,
                                      IntegerRange range, Duration fallback) {
  return this->Field(name) == nullptr ? fallback
                                      : this->Milliseconds(name, range);
}

std::int64_t ObjectReader::ThousandthsOr(const std::string& name,
                                         IntegerRange range,
                                         std::int64_t fallback) {
  return this->ReadThousandths("number", name, range, fallback);
}

Duration ObjectReader::SecondsOr(const std::string& name, IntegerRange range,
                                 Duration fallback) {
  const std::int64_t milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
  return std::chrono::milliseconds(
      this->ReadThousandths("number of seconds", name, range, milliseconds));
}

std::int64_t ObjectReader::ReadThousandths(const std::string& what,
                                           const std::string& name,
                                           IntegerRange range,
                                           std::int64_t fallback) {
  constexpr double kThousand = 1000;
  const nlohmann::json* field = this->Field(name);
  if (field == nullptr) return fallback;
  // Compared as a number with a fraction, since a large one has no integer.
  const double rounded =
      field->is_number() ? std::round(field->get<double>() * kThousand) : -1;
  if (!field->is_number() || rounded < static_cast<double>(range.minimum) ||
      rounded > static_cast<double>(range.maximum)) {
    this->ReportProblem(name, "must be a " + what + " from " +
                                  ThousandthsText(range.minimum) + " to " +
                                  ThousandthsText(range.maximum));
    return fallback;
  }
  return static_cast<std::int64_t>(rounded);
}

std::string ObjectReader::Text(const std::string& name) {
  const nlohmann::json* field = this->RequiredField(name);
  if (field == nullptr) return {};
  if (!field->is_string() || field->get_ref<const std::string&>().empty()) {
    this->ReportProblem(name, "must be a string that is not empty");
    return {};
  }
  return field->get<std::string>();
}

std::string ObjectReader::TextOr(const std::string& name,
                                 std::string fallback) {
  return this->Field(name) == nullptr ? std::move(fallback) : this->Text(name);
}

std::string ObjectReader::AnyTextOr(const std::string& name,
                                    std::string fallback) {
  const nlohmann::json* field = this->Field(name);
  if (field == nullptr) return fallback;
  if (!field->is_string()) {
    this->ReportProblem(name, "must be a string");
    return fallback;
  }
  return field->get<std::string>();
}

std::vector<std::string> ObjectReader::Texts(const std::string& name) {
  std::vector<std::string> texts;
  if (!this->Has(name)) return texts;
  const nlohmann::json* list = this->List(name, "a list of strings");
  if (list == nullptr) return texts;
  for (const nlohmann::json& item : *list) {
    if (!item.is_string()) {
      this->ReportProblem(name, "must be a list of strings");
      return {};
    }
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

std::size_t ObjectReader::ChoiceOr(const std::string& name,
                                   const std::vector<std::string>& allowed,
                                   std::size_t fallback) {
  if (this->Field(name) == nullptr) return fallback;
  const std::string text = this->Text(name);
  const auto found = std::find(allowed.begin(), allowed.end(), text);
  if (found != allowed.end()) {
    return static_cast<std::size_t>(found - allowed.begin());
  }
  std::string list;
  for (const std::string& choice : allowed) {
    list += (list.empty() ? "" : ", ") + choice;
  }
  this->ReportProblem(name, "must be one of: " + list);
  return fallback;
}

ObjectReader ObjectReader::Object(const std::string& name) {
  const nlohmann::json* field = this->RequiredField(name);
  return {this->source, this->path + name + ".",
          field == nullptr ? EmptyObject() : *field, this->unknown_fields};
}

std::vector<ObjectReader> ObjectReader::Objects(const std::string& name) {
  std::vector<ObjectReader> readers;
  const nlohmann::json* list = this->List(name, "a list of objects");
  if (list == nullptr) return readers;
  for (std::size_t i = 0; i < list->size(); ++i) {
    readers.emplace_back(this->source,
                         this->path + name + "[" + std::to_string(i) + "].",
                         list->at(i), this->unknown_fields);
  }
  return readers;
}

std::vector<ObjectReader> ObjectReader::Rows(
    const std::string& name, std::span<const std::string_view> columns_read) {
  std::vector<ObjectReader> readers;
  const nlohmann::json* list = this->List(name, "a list of lists");
  if (list == nullptr) return readers;
  for (std::size_t i = 0; i < list->size(); ++i) {
    if (!list->at(i).is_array()) {
      this->ReportProblem(name, "must be a list of lists");
      return {};
    }
    ObjectReader& reader = readers.emplace_back(
        this->source, this->path + name + "[" + std::to_string(i) + "].",
        EmptyObject(), this->unknown_fields);
    reader.fields = &list->at(i);
    reader.columns = columns_read;
  }
  return readers;
}

bool ObjectReader::Has(const std::string& name) const {
  return this->fields->contains(name);
}

bool ObjectReader::IsText(const std::string& name) const {
  if (!this->Has(name)) return false;
  return this->fields->at(name).is_string();
}

void ObjectReader::FinishNested(ObjectReader& nested) {
  nested.CheckUnknownFields();
  if (!this->problem) this->problem = nested.problem;
}

void ObjectReader::ReportProblem(const std::string& name,
                                 const std::string& what) {
  if (this->problem) return;
  this->problem =
      this->source + ": field \"" + this->path + name + "\" " + what;
}

Result<void> ObjectReader::Finish() {
  this->CheckUnknownFields();
  if (this->problem) return Fail(*this->problem);
  return {};
}

const nlohmann::json* ObjectReader::List(const std::string& name,
                                         const std::string& what) {
  const nlohmann::json* field = this->RequiredField(name);
  if (field == nullptr || field->is_array()) return field;
  const bool is_empty =
      field->is_null() && this->unknown_fields == UnknownFields::kIgnored;
  if (!is_empty) this->ReportProblem(name, "must be " + what);
  return nullptr;
}

const nlohmann::json* ObjectReader::Field(const std::string& name) {
  if (this->fields->is_array()) {
    const auto column =
        std::find(this->columns.begin(), this->columns.end(), name);
    const auto index = static_cast<std::size_t>(column - this->columns.begin());
    return index < this->fields->size() ? &this->fields->at(index) : nullptr;
  }
  if (this->unknown_fields == UnknownFields::kRefused) {
    this->known_fields.push_back(name);
  }
  const auto found = this->fields->find(name);
  return found == this->fields->end() ? nullptr : &*found;
}

const nlohmann::json* ObjectReader::RequiredField(const std::string& name) {
  const nlohmann::json* field = this->Field(name);
  if (field == nullptr) this->ReportProblem(name, "is missing");
  return field;
}

void ObjectReader::CheckUnknownFields() {
  if (this->unknown_fields == UnknownFields::kIgnored) return;
  for (const auto& [name, value] : this->fields->items()) {
    if (std::find(this->known_fields.begin(), this->known_fields.end(), name) ==
        this->known_fields.end()) {
      this->ReportProblem(BoundedMessage(name), "is unknown");
    }
  }
}

}  // namespace dandelionspur
