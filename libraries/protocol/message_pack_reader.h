#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string_view>

namespace dandelionspur {

// The bytes are not the MessagePack that was expected.
class MalformedMessagePack : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the values of a MessagePack buffer in order, without a tree of values
// in between. Each call throws MalformedMessagePack where the next value is of
// another kind or there is none.
class MessagePackReader {
 public:
  // `source` must outlive what is read as text or binary. Where it is cut off
  // or malformed anywhere, nothing can be read of it.
  explicit MessagePackReader(std::string_view source);

  // Whether the next value is null; it is consumed then.
  [[nodiscard]] bool TakeNull();
  [[nodiscard]] bool Boolean();
  [[nodiscard]] std::uint64_t Unsigned();
  [[nodiscard]] std::int64_t Signed();
  [[nodiscard]] double Floating();
  [[nodiscard]] std::string_view Text();
  [[nodiscard]] std::string_view Binary();
  // The number of items that follow; never more than there are bytes left.
  [[nodiscard]] std::size_t ArrayItems();
  // Passes over the next values, of any kind that the writer knows.
  void Skip(std::size_t values);
  [[nodiscard]] bool AtEnd() const { return this->next == this->end; }

 private:
  // The library's kind of the next value.
  [[nodiscard]] int Kind() const;

  const char* next;
  const char* end;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
