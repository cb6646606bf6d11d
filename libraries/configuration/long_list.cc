#include "libraries/configuration/long_list.h"

// The library's own implementation, which is to be included once.
#include <boost/json/src.hpp>

namespace dandelionspur {

std::optional<boost::json::object> ParsePlainObject(
    std::string_view text, JsonComments comments,
    const boost::json::storage_ptr& storage) {
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
