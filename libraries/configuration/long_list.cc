#include "libraries/configuration/long_list.h"

// The library's own implementation, which is to be included once.
#include <algorithm>
#include <boost/json/src.hpp>

namespace dandelionspur {
namespace {

// A value of a list of objects, with its name, takes at least so many bytes on
// average.
constexpr std::size_t kBytesPerValue = 8;
// So that the average doesn't matter in a short text.
constexpr std::size_t kValuesAnyway = 4096;

// Whether the text has too many values for its size to be such a list: the
// library has no limit of its own, and takes many times the size of a text that
// consists of very short values.
bool IsTooDense(std::string_view text) {
  // Each value but the first follows one of these.
  const auto values = static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char character) {
        return character == ',' || character == '[' || character == '{';
      }));
  return values > kValuesAnyway + text.size() / kBytesPerValue;
}

}  // namespace

std::optional<boost::json::object> ParsePlainObject(
    std::string_view text, JsonComments comments,
    const boost::json::storage_ptr& storage) {
  if (IsTooDense(text)) return std::nullopt;
  boost::json::parse_options options;
  options.allow_comments = comments == JsonComments::kIgnored;
  boost::json::error_code problem;
  boost::json::value parsed =
      boost::json::parse({text.data(), text.size()}, problem, storage, options);
  if (problem || !parsed.is_object()) return std::nullopt;
  return std::optional<boost::json::object>(std::move(parsed.get_object()));
}

std::string SerializePlainObject(const boost::json::object& object) {
  return boost::json::serialize(object);
}

}  // namespace dandelionspur
