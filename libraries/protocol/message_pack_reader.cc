#include "libraries/protocol/message_pack_reader.h"

#include <bit>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "libraries/protocol/message_pack_kinds.h"

namespace dandelionspur {
namespace {

namespace pack = message_pack;

[[noreturn]] void Refuse(const char* problem) {
  throw MalformedMessagePack(problem);
}

bool IsArray(std::uint8_t kind) {
  return (kind >= pack::kFixArray && kind < pack::kFixText) ||
         kind == pack::kArray16 || kind == pack::kArray32;
}

bool IsText(std::uint8_t kind) {
  return (kind >= pack::kFixText && kind < pack::kFixTextEnd) ||
         kind == pack::kText8 || kind == pack::kText16 || kind == pack::kText32;
}

bool IsBinary(std::uint8_t kind) {
  return kind == pack::kBinary8 || kind == pack::kBinary16 ||
         kind == pack::kBinary32;
}

// How many bytes follow the first one of a number, a boolean or null.
std::size_t NumberSize(std::uint8_t kind) {
  if (kind < pack::kPositiveFixEnd || kind >= pack::kNegativeFix) return 0;
  switch (kind) {
    case pack::kNull:
    case pack::kFalse:
    case pack::kTrue:
      return 0;
    case pack::kUnsigned8:
    case pack::kSigned8:
      return sizeof(std::uint8_t);
    case pack::kUnsigned16:
    case pack::kSigned16:
      return sizeof(std::uint16_t);
    case pack::kUnsigned32:
    case pack::kSigned32:
    case pack::kFloat32:
      return sizeof(std::uint32_t);
    case pack::kUnsigned64:
    case pack::kSigned64:
    case pack::kFloat64:
      return sizeof(std::uint64_t);
    default:
      Refuse("unknown kind of value");
  }
}

}  // namespace

std::uint8_t MessagePackReader::Peek() const {
  if (this->bytes.empty()) Refuse("cut off");
  return static_cast<std::uint8_t>(this->bytes.front());
}

std::uint8_t MessagePackReader::Byte() {
  const std::uint8_t byte = this->Peek();
  this->bytes.remove_prefix(1);
  return byte;
}

std::string_view MessagePackReader::Bytes(std::uint64_t size) {
  if (size > this->bytes.size()) Refuse("cut off");
  const std::string_view taken = this->bytes.substr(0, size);
  this->bytes.remove_prefix(size);
  return taken;
}

template <typename T>
T MessagePackReader::Number() {
  const std::string_view number = this->Bytes(sizeof(T));
  return boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(
      reinterpret_cast<const std::uint8_t*>(number.data()));
}

bool MessagePackReader::TakeNull() {
  if (this->Peek() != pack::kNull) return false;
  this->bytes.remove_prefix(1);
  return true;
}

bool MessagePackReader::Boolean() {
  const std::uint8_t kind = this->Byte();
  if (kind != pack::kTrue && kind != pack::kFalse) Refuse("not a boolean");
  return kind == pack::kTrue;
}

std::uint64_t MessagePackReader::Unsigned() {
  const std::uint8_t kind = this->Byte();
  if (kind < pack::kPositiveFixEnd) return kind;
  switch (kind) {
    case pack::kUnsigned8:
      return this->Number<std::uint8_t>();
    case pack::kUnsigned16:
      return this->Number<std::uint16_t>();
    case pack::kUnsigned32:
      return this->Number<std::uint32_t>();
    case pack::kUnsigned64:
      return this->Number<std::uint64_t>();
    default:
      Refuse("not an unsigned integer");
  }
}

std::int64_t MessagePackReader::Signed() {
  const std::uint8_t kind = this->Peek();
  if (kind >= pack::kNegativeFix) return static_cast<std::int8_t>(this->Byte());
  const bool is_negative = kind >= pack::kSigned8 && kind <= pack::kSigned64;
  if (!is_negative) {
    const std::uint64_t value = this->Unsigned();
    if (!std::in_range<std::int64_t>(value)) Refuse("integer out of range");
    return static_cast<std::int64_t>(value);
  }
  this->bytes.remove_prefix(1);
  switch (kind) {
    case pack::kSigned8:
      return this->Number<std::int8_t>();
    case pack::kSigned16:
      return this->Number<std::int16_t>();
    case pack::kSigned32:
      return this->Number<std::int32_t>();
    default:
      return this->Number<std::int64_t>();
  }
}

double MessagePackReader::Floating() {
  const std::uint8_t kind = this->Byte();
  if (kind == pack::kFloat32) {
    return static_cast<double>(
        std::bit_cast<float>(this->Number<std::uint32_t>()));
  }
  if (kind != pack::kFloat64) Refuse("not a floating-point number");
  return std::bit_cast<double>(this->Number<std::uint64_t>());
}

std::string_view MessagePackReader::Text() {
  const std::uint8_t kind = this->Byte();
  if (kind >= pack::kFixText && kind < pack::kFixTextEnd) {
    return this->Bytes(kind & pack::kFixTextSize);
  }
  switch (kind) {
    case pack::kText8:
      return this->Bytes(this->Number<std::uint8_t>());
    case pack::kText16:
      return this->Bytes(this->Number<std::uint16_t>());
    case pack::kText32:
      return this->Bytes(this->Number<std::uint32_t>());
    default:
      Refuse("not a text");
  }
}

std::string_view MessagePackReader::Binary() {
  switch (this->Byte()) {
    case pack::kBinary8:
      return this->Bytes(this->Number<std::uint8_t>());
    case pack::kBinary16:
      return this->Bytes(this->Number<std::uint16_t>());
    case pack::kBinary32:
      return this->Bytes(this->Number<std::uint32_t>());
    default:
      Refuse("not binary");
  }
}

std::size_t MessagePackReader::ArrayItems() {
  const std::uint8_t kind = this->Byte();
  std::size_t items = 0;
  if (kind >= pack::kFixArray && kind < pack::kFixText) {
    items = kind & pack::kFixArrayItems;
  } else if (kind == pack::kArray16) {
    items = this->Number<std::uint16_t>();
  } else if (kind == pack::kArray32) {
    items = this->Number<std::uint32_t>();
  } else {
    Refuse("not an array");
  }
  if (items > this->bytes.size()) Refuse("cut off");
  return items;
}

void MessagePackReader::Skip(std::size_t values) {
  for (std::size_t left = values; left > 0; --left) left += this->SkipOne();
}

std::size_t MessagePackReader::SkipOne() {
  const std::uint8_t kind = this->Peek();
  if (IsArray(kind)) return this->ArrayItems();
  if (IsText(kind)) {
    static_cast<void>(this->Text());
  } else if (IsBinary(kind)) {
    static_cast<void>(this->Binary());
  } else {
    this->Bytes(1 + NumberSize(kind));
  }
  return 0;
}

}  // namespace dandelionspur
