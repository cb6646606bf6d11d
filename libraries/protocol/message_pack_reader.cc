#include "libraries/protocol/message_pack_reader.h"

#include <msgpuck.h>

#include <utility>

namespace dandelionspur {
namespace {

[[noreturn]] void Refuse(const char* message) {
  throw MessagePackError(MessagePackProblem::kMalformed, message);
}

[[noreturn]] void RefuseTruncated() {
  throw MessagePackError(MessagePackProblem::kTruncated, "truncated");
}

// The only byte that begins no value.
constexpr char kNeverUsed = '\xc1';

// Finds out what is wrong with the value at `next`, which mp_check() refuses.
// Arrays are entered, since one of their items may be the cause; all other
// values are refused for their first byte, or end too early. A map is read like
// an array of its keys and values.
MessagePackProblem ProblemOf(const char* next, const char* end) {
  std::uint64_t values = 1;
  for (; values > 0 && next != end; --values) {
    if (*next == kNeverUsed) return MessagePackProblem::kMalformed;
    switch (mp_typeof(*next)) {
      case MP_ARRAY:
        if (mp_check_array(next, end) > 0) {
          return MessagePackProblem::kTruncated;
        }
        values += mp_decode_array(&next);
        break;
      case MP_MAP:
        if (mp_check_map(next, end) > 0) return MessagePackProblem::kTruncated;
        values += 2 * std::uint64_t{mp_decode_map(&next)};
        break;
      default:
        if (mp_check(&next, end) != 0) return MessagePackProblem::kTruncated;
    }
  }
  return MessagePackProblem::kTruncated;
}

}  // namespace

MessagePackReader::MessagePackReader(std::string_view source)
    : next(source.data()), end(source.data() + source.size()) {
  const char* checked = this->next;
  while (checked != this->end) {
    const char* value = checked;
    if (mp_check(&checked, this->end) == 0) continue;
    this->problem_at_end = ProblemOf(value, this->end);
    this->end = this->next;
    return;
  }
}

bool MessagePackReader::TakeNull() {
  if (this->NextType() != MP_NIL) return false;
  mp_decode_nil(&this->next);
  return true;
}

bool MessagePackReader::Boolean() {
  if (this->NextType() != MP_BOOL) Refuse("not a boolean");
  return mp_decode_bool(&this->next);
}

std::uint64_t MessagePackReader::Unsigned() {
  if (this->NextType() != MP_UINT) Refuse("not an unsigned integer");
  return mp_decode_uint(&this->next);
}

std::int64_t MessagePackReader::Signed() {
  if (this->NextType() == MP_INT) return mp_decode_int(&this->next);
  const std::uint64_t value = this->Unsigned();
  if (!std::in_range<std::int64_t>(value)) Refuse("integer out of range");
  return static_cast<std::int64_t>(value);
}

double MessagePackReader::Floating() {
  if (this->NextType() == MP_FLOAT) {
    return static_cast<double>(mp_decode_float(&this->next));
  }
  if (this->NextType() != MP_DOUBLE) Refuse("not a floating-point number");
  return mp_decode_double(&this->next);
}

std::string_view MessagePackReader::Text() {
  if (this->NextType() != MP_STR) Refuse("not a string");
  std::uint32_t size = 0;
  const char* text = mp_decode_str(&this->next, &size);
  return {text, size};
}

std::string_view MessagePackReader::Binary() {
  if (this->NextType() != MP_BIN) Refuse("not binary data");
  std::uint32_t size = 0;
  const char* bytes = mp_decode_bin(&this->next, &size);
  return {bytes, size};
}

std::size_t MessagePackReader::ArrayItems() {
  if (this->NextType() != MP_ARRAY) Refuse("not an array");
  const std::size_t items = mp_decode_array(&this->next);
  // mp_check() treats an array of 2^32 - 1 items as empty.
  if (std::cmp_greater(items, this->end - this->next)) RefuseTruncated();
  return items;
}

void MessagePackReader::Skip(std::size_t values) {
  for (std::size_t left = values; left > 0; --left) {
    const int type = this->NextType();
    if (type == MP_MAP) Refuse("maps are not supported");
    if (type == MP_ARRAY) {
      left += this->ArrayItems();
    } else {
      mp_next(&this->next);
    }
  }
}

int MessagePackReader::NextType() const {
  if (this->AtEnd()) {
    if (this->problem_at_end == MessagePackProblem::kMalformed) {
      Refuse("not MessagePack");
    }
    RefuseTruncated();
  }
  // mp_check() accepts it.
  if (*this->next == kNeverUsed) Refuse("not MessagePack");
  return mp_typeof(*this->next);
}

}  // namespace dandelionspur
