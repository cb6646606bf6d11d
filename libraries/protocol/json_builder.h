#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_JSON_BUILDER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_JSON_BUILDER_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/protocol/json_text_writer.h"
#include "libraries/protocol/parse_json.h"

namespace dandelionspur {

// Builds a value from the events of the library's streaming parser, and stops
// it at the first event that exceeds a limit. Memory and time are proportional
// to the text, and the number of values is bounded. The library's own builder
// has no limits, and with a callback its time grows with the square of the
// number of nested values. The names are the ones that the parser calls.
class JsonBuilder {
 public:
  using Json = nlohmann::json;

  explicit JsonBuilder(const JsonLimits& configured) : limits(configured) {}

  // Why the parser was stopped; nothing if it came to the end.
  [[nodiscard]] const std::optional<std::string>& problem() const {
    return this->stopped_for;
  }
  Json Take() { return std::move(this->root); }

  // All return whether the parser is to go on.
  bool null();
  bool boolean(bool value);
  bool number_integer(Json::number_integer_t value);
  bool number_unsigned(Json::number_unsigned_t value);
  bool number_float(Json::number_float_t value, const Json::string_t& digits);
  bool string(Json::string_t& value);
  bool binary(Json::binary_t& value);
  bool start_object(std::size_t size);
  bool key(Json::string_t& name);
  bool end_object();
  bool start_array(std::size_t size);
  bool end_array();
  bool parse_error(std::size_t position, const std::string& token,
                   const Json::exception& error);

 private:
  // An array or object that isn't complete.
  struct Container {
    Json* value = nullptr;
    // The member of an object that comes next.
    std::string next_key;
    // How many names of `limits.text_path` lead here; nothing if it lies
    // beside the path.
    std::optional<std::size_t> path_length;
  };

  // Adds a value that is neither an array nor an object nor a string.
  bool Leaf(std::string_view literal, Json value);
  // Adds a value where the next one belongs. Returns null if it's one too many.
  Json* Add(Json value);
  bool Open(char bracket, Json empty);
  bool Close(char bracket);
  bool Stop(std::string reason);
  // The length of the part of `limits.text_path` that leads to the next value.
  [[nodiscard]] std::optional<std::size_t> PathLengthOfNext() const;
  [[nodiscard]] bool NextIsText() const;
  [[nodiscard]] bool IsTooDeep() const;

  JsonLimits limits;
  Json root;
  std::vector<Container> open;
  std::size_t values = 0;
  // Set while a value is kept as text.
  std::optional<JsonTextWriter> text;
  std::optional<std::string> stopped_for;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_JSON_BUILDER_H_
