#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string_view>

namespace dandelionspur {

// Thrown for bytes that are not MessagePack of the expected layout.
class MalformedMessagePack : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the values of a MessagePack buffer in order, without an intermediate
// tree of values. Each call throws MalformedMessagePack if the next value is of
// another type or the buffer is at its end.
class MessagePackReader {
 public:
  // `source` must outlive the reader and the text and binary values read from
  // it. If any part of `source` is truncated or malformed, the reader is empty.
  explicit MessagePackReader(std::string_view source);

  // Consumes the next value if it is null; returns whether it was.
  [[nodiscard]] bool TakeNull();
  [[nodiscard]] bool Boolean();
  [[nodiscard]] std::uint64_t Unsigned();
  [[nodiscard]] std::int64_t Signed();
  [[nodiscard]] double Floating();
  [[nodiscard]] std::string_view Text();
  [[nodiscard]] std::string_view Binary();
  // Reads the header of an array and returns its number of items, which is
  // never larger than the number of bytes left.
  [[nodiscard]] std::size_t ArrayItems();
  // Skips this many values of any types but maps, which the writer never
  // writes.
  void Skip(std::size_t values);
  [[nodiscard]] bool AtEnd() const { return this->next == this->end; }

 private:
  // The `mp_type` of the next value.
  [[nodiscard]] int NextType() const;

  const char* next;
  const char* end;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
