#ifndef DANDELIONSPUR_LIBRARIES_BASE_PAYLOAD_H_
#define DANDELIONSPUR_LIBRARIES_BASE_PAYLOAD_H_

#include <cstdint>
#include <memory>
#include <string>

namespace dandelionspur {

// The opaque bytes of a task or of its result, shared and never copied.
// Decisions may depend on the digest and the size, never on the bytes, so a
// recording stores only those two.
class Payload {
 public:
  Payload() = default;
  static Payload FromBytes(std::string bytes);
  // A payload read from a recording, which does not contain the bytes.
  static Payload FromRecord(std::uint64_t digest, std::uint64_t size);

  // Empty for a payload made by FromRecord.
  [[nodiscard]] const std::string& bytes() const;
  [[nodiscard]] std::uint64_t digest() const { return this->hash; }
  [[nodiscard]] std::uint64_t size() const { return this->length; }

  bool operator==(const Payload& other) const {
    return this->hash == other.hash && this->length == other.length;
  }

 private:
  std::shared_ptr<const std::string> content;
  std::uint64_t hash = 0;
  std::uint64_t length = 0;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_BASE_PAYLOAD_H_
