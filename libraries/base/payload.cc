#include "libraries/base/payload.h"

#include <xxhash.h>

#include <utility>

namespace dandelionspur {

Payload Payload::FromBytes(std::string bytes) {
  Payload payload;
  payload.hash = XXH3_64bits(bytes.data(), bytes.size());
  payload.length = bytes.size();
  payload.content = std::make_shared<const std::string>(std::move(bytes));
  return payload;
}

Payload Payload::FromRecord(std::uint64_t digest, std::uint64_t size) {
  Payload payload;
  payload.hash = digest;
  payload.length = size;
  return payload;
}

const std::string& Payload::bytes() const {
  static const std::string empty;
  return this->content ? *this->content : empty;
}

}  // namespace dandelionspur
