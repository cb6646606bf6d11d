#include "libraries/protocol/message_pack_writer.h"

#include <array>
#include <bit>
#include <boost/endian/conversion.hpp>
#include <limits>
#include <utility>

#include "libraries/protocol/message_pack_kinds.h"

namespace dandelionspur {
namespace {

namespace pack = message_pack;

// Whether nothing is lost in single precision.
bool FitsFloat32(double value) {
  using Limits = std::numeric_limits<float>;
  const bool in_range = value >= static_cast<double>(Limits::lowest()) &&
                        value <= static_cast<double>(Limits::max());
  return in_range && static_cast<double>(static_cast<float>(value)) == value;
}

}  // namespace

template <typename T>
void MessagePackWriter::Number(std::uint8_t kind, T value) {
  std::array<std::uint8_t, 1 + sizeof(T)> number{kind};
  boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(
      number.data() + 1, value);
  this->bytes.append(number.begin(), number.end());
}

void MessagePackWriter::Null() {
  this->bytes.push_back(static_cast<char>(pack::kNull));
}

void MessagePackWriter::Boolean(bool value) {
  this->bytes.push_back(static_cast<char>(value ? pack::kTrue : pack::kFalse));
}

void MessagePackWriter::Unsigned(std::uint64_t value) {
  if (value < pack::kPositiveFixEnd) {
    this->bytes.push_back(static_cast<char>(value));
  } else if (std::in_range<std::uint8_t>(value)) {
    this->Number(pack::kUnsigned8, static_cast<std::uint8_t>(value));
  } else if (std::in_range<std::uint16_t>(value)) {
    this->Number(pack::kUnsigned16, static_cast<std::uint16_t>(value));
  } else if (std::in_range<std::uint32_t>(value)) {
    this->Number(pack::kUnsigned32, static_cast<std::uint32_t>(value));
  } else {
    this->Number(pack::kUnsigned64, value);
  }
}

void MessagePackWriter::Signed(std::int64_t value) {
  if (value >= 0) {
    this->Unsigned(static_cast<std::uint64_t>(value));
  } else if (value >= pack::kLowestNegativeFix) {
    this->bytes.push_back(static_cast<char>(value));
  } else if (std::in_range<std::int8_t>(value)) {
    this->Number(pack::kSigned8, static_cast<std::int8_t>(value));
  } else if (std::in_range<std::int16_t>(value)) {
    this->Number(pack::kSigned16, static_cast<std::int16_t>(value));
  } else if (std::in_range<std::int32_t>(value)) {
    this->Number(pack::kSigned32, static_cast<std::int32_t>(value));
  } else {
    this->Number(pack::kSigned64, value);
  }
}

void MessagePackWriter::Floating(double value) {
  if (FitsFloat32(value)) {
    this->Number(pack::kFloat32,
                 std::bit_cast<std::uint32_t>(static_cast<float>(value)));
  } else {
    this->Number(pack::kFloat64, std::bit_cast<std::uint64_t>(value));
  }
}

void MessagePackWriter::Text(std::string_view value) {
  const std::size_t size = value.size();
  if (size <= pack::kFixTextSize) {
    this->bytes.push_back(static_cast<char>(pack::kFixText | size));
  } else if (std::in_range<std::uint8_t>(size)) {
    this->Number(pack::kText8, static_cast<std::uint8_t>(size));
  } else if (std::in_range<std::uint16_t>(size)) {
    this->Number(pack::kText16, static_cast<std::uint16_t>(size));
  } else {
    this->Number(pack::kText32, static_cast<std::uint32_t>(size));
  }
  this->bytes.append(value);
}

void MessagePackWriter::Binary(std::string_view value) {
  const std::size_t size = value.size();
  if (std::in_range<std::uint8_t>(size)) {
    this->Number(pack::kBinary8, static_cast<std::uint8_t>(size));
  } else if (std::in_range<std::uint16_t>(size)) {
    this->Number(pack::kBinary16, static_cast<std::uint16_t>(size));
  } else {
    this->Number(pack::kBinary32, static_cast<std::uint32_t>(size));
  }
  this->bytes.append(value);
}

void MessagePackWriter::ArrayOf(std::size_t items) {
  if (items <= pack::kFixArrayItems) {
    this->bytes.push_back(static_cast<char>(pack::kFixArray | items));
  } else if (std::in_range<std::uint16_t>(items)) {
    this->Number(pack::kArray16, static_cast<std::uint16_t>(items));
  } else {
    this->Number(pack::kArray32, static_cast<std::uint32_t>(items));
  }
}

}  // namespace dandelionspur
