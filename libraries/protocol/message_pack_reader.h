#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string_view>

namespace dandelionspur {

// What is wrong with bytes that are read as MessagePack.
enum class MessagePackProblem {
  // The bytes end within a value or before an expected one, as those of a
  // message do that was cut off.
  kTruncated,
  // The bytes are no MessagePack, or not of the expected layout.
  kMalformed,
};

// Thrown for bytes that are not MessagePack of the expected layout.
class MessagePackError : public std::runtime_error {
 public:
  MessagePackError(MessagePackProblem kind, const char* message)
      : std::runtime_error(message), what_is_wrong(kind) {}

  [[nodiscard]] MessagePackProblem problem() const {
    return this->what_is_wrong;
  }

 private:
  MessagePackProblem what_is_wrong;
};

// Reads the values of a MessagePack buffer in order, without an intermediate
// tree of values. Each call throws MessagePackError if the next value is of
// another type or the buffer is at its end.
class MessagePackReader {
 public:
  // `source` must outlive the reader and the text and binary values read from
  // it. If any part of `source` is truncated or malformed, the reader is empty,
  // and its errors say which of the two it is.
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
  // Why there is no next value at the end.
  MessagePackProblem problem_at_end = MessagePackProblem::kTruncated;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
