#include "libraries/protocol/message_pack_writer.h"

#include <msgpuck.h>

#include <limits>

namespace dandelionspur {
namespace {

// Whether a float represents the value exactly.
bool FitsFloat32(double value) {
  using Limits = std::numeric_limits<float>;
  const bool in_range = value >= static_cast<double>(Limits::lowest()) &&
                        value <= static_cast<double>(Limits::max());
  return in_range && static_cast<double>(static_cast<float>(value)) == value;
}

}  // namespace

template <typename Encode>
void MessagePackWriter::Append(std::size_t size, Encode encode) {
  const std::size_t begin = this->bytes.size();
  this->bytes.resize(begin + size);
  encode(this->bytes.data() + begin);
}

void MessagePackWriter::Null() {
  this->Append(mp_sizeof_nil(), [](char* to) { mp_encode_nil(to); });
}

void MessagePackWriter::Boolean(bool value) {
  this->Append(mp_sizeof_bool(value),
               [&](char* to) { mp_encode_bool(to, value); });
}

void MessagePackWriter::Unsigned(std::uint64_t value) {
  this->Append(mp_sizeof_uint(value),
               [&](char* to) { mp_encode_uint(to, value); });
}

void MessagePackWriter::Signed(std::int64_t value) {
  if (value >= 0) {
    this->Unsigned(static_cast<std::uint64_t>(value));
    return;
  }
  this->Append(mp_sizeof_int(value),
               [&](char* to) { mp_encode_int(to, value); });
}

void MessagePackWriter::Floating(double value) {
  if (FitsFloat32(value)) {
    const auto single = static_cast<float>(value);
    this->Append(mp_sizeof_float(single),
                 [&](char* to) { mp_encode_float(to, single); });
    return;
  }
  this->Append(mp_sizeof_double(value),
               [&](char* to) { mp_encode_double(to, value); });
}

void MessagePackWriter::Text(std::string_view value) {
  const auto size = static_cast<std::uint32_t>(value.size());
  this->Append(mp_sizeof_str(size),
               [&](char* to) { mp_encode_str(to, value.data(), size); });
}

void MessagePackWriter::Binary(std::string_view value) {
  const auto size = static_cast<std::uint32_t>(value.size());
  this->Append(mp_sizeof_bin(size),
               [&](char* to) { mp_encode_bin(to, value.data(), size); });
}

void MessagePackWriter::ArrayOf(std::size_t items) {
  const auto count = static_cast<std::uint32_t>(items);
  this->Append(mp_sizeof_array(count),
               [&](char* to) { mp_encode_array(to, count); });
}

}  // namespace dandelionspur
