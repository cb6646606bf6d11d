#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_JSON_TEXT_WRITER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_JSON_TEXT_WRITER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace dandelionspur {

// Writes the JSON text of one value, an event after the other, without white
// space. Members keep their order, and numbers their digits. Holds nothing but
// the text.
class JsonTextWriter {
 public:
  // What is written behind `limit` bytes is left out, but for some bytes that
  // show that the text is longer.
  explicit JsonTextWriter(std::size_t limit) : longest(limit) {}

  // Writes a value that is neither an array nor an object nor a string.
  void Literal(std::string_view literal);
  // The bytes must be UTF-8.
  void String(std::string_view value);
  void Open(char bracket);
  void Close(char bracket);
  void Key(std::string_view name);

  // The number of arrays and objects that aren't complete.
  [[nodiscard]] std::size_t depth() const { return this->open_count; }
  [[nodiscard]] std::string Take() { return std::move(this->written); }

 private:
  void BeginValue();
  void Append(std::string_view part);
  void AppendQuoted(std::string_view value);

  std::size_t longest;
  std::string written;
  std::size_t open_count = 0;
  // Whether a comma belongs before the next value or key.
  bool needs_comma = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_JSON_TEXT_WRITER_H_
