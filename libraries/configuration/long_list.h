#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_LONG_LIST_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_LONG_LIST_H_

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/configuration/plain_object.h"
#include "libraries/protocol/parse_json.h"

namespace dandelionspur {

// A document whose list of objects was read.
template <typename Item>
struct LongList {
  std::vector<Item> items;
  // The JSON text of the document without the list.
  std::string rest;
};

// Parses a JSON object into `storage`. Returns nothing if the text is anything
// else.
std::optional<boost::json::object> ParsePlainObject(
    std::string_view text, JsonComments comments,
    const boost::json::storage_ptr& storage);
std::string SerializePlainObject(const boost::json::object& object);

// Reads the items of `list` with `read_item`, in a single pass. Returns nothing
// if the text is malformed, or an item lacks a field or has a value that isn't
// allowed; ObjectReader then says what is wrong, at a greater cost.
template <typename Item, typename ReadItem>
std::optional<LongList<Item>> ReadLongList(std::string_view text,
                                           JsonComments comments,
                                           UnknownFields policy,
                                           std::string_view list,
                                           ReadItem&& read_item) {
  boost::json::monotonic_resource storage;
  std::optional<boost::json::object> document =
      ParsePlainObject(text, comments, &storage);
  if (!document) return std::nullopt;
  const boost::json::value* values =
      document->if_contains({list.data(), list.size()});
  if (values == nullptr || !values->is_array()) return std::nullopt;
  LongList<Item> result;
  result.items.reserve(values->get_array().size());
  for (const boost::json::value& value : values->get_array()) {
    if (!value.is_object()) return std::nullopt;
    PlainObject reader(value.get_object(), policy);
    result.items.push_back(read_item(reader));
    if (!reader.IsValid()) return std::nullopt;
  }
  document->erase({list.data(), list.size()});
  result.rest = SerializePlainObject(*document);
  return result;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_LONG_LIST_H_
