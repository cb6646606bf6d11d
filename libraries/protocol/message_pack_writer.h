#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_WRITER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionspur {

// Appends values to a buffer, each in its shortest MessagePack encoding. Writes
// the same bytes as nlohmann::json::to_msgpack, without an intermediate tree of
// values.
class MessagePackWriter {
 public:
  explicit MessagePackWriter(std::string& target) : bytes(target) {}

  void Null();
  void Boolean(bool value);
  void Unsigned(std::uint64_t value);
  void Signed(std::int64_t value);
  void Floating(double value);
  void Text(std::string_view value);
  void Binary(std::string_view value);
  // Writes the header of an array; the caller must write its items next.
  void ArrayOf(std::size_t items);

 private:
  // Extends the buffer by `size` bytes, which `encode` fills.
  template <typename Encode>
  void Append(std::size_t size, Encode encode);

  std::string& bytes;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_WRITER_H_
