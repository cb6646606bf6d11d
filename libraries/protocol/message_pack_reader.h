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
// another kind or cut off.
class MessagePackReader {
 public:
  // `source` must outlive what is read as text or binary.
  explicit MessagePackReader(std::string_view source) : bytes(source) {}

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
  [[nodiscard]] bool AtEnd() const { return this->bytes.empty(); }

 private:
  [[nodiscard]] std::uint8_t Peek() const;
  std::uint8_t Byte();
  std::string_view Bytes(std::uint64_t size);
  template <typename T>
  T Number();
  // Passes over one value and returns how many follow as its items.
  std::size_t SkipOne();

  // What is left to read.
  std::string_view bytes;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_READER_H_
