#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_CODEC_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_CODEC_H_

#include <algorithm>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/payload.h"
#include "libraries/base/strong_type.h"
#include "libraries/protocol/message_pack_reader.h"
#include "libraries/protocol/message_pack_writer.h"

namespace dandelionspur {

// How payloads are encoded.
// kWire: the bytes, for messages between processes.
// kRecord: digest and size only, for recordings.
enum class CodecForm { kWire, kRecord };

namespace codec_detail {

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T>
struct IsVariant : std::false_type {};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {};
template <typename T>
struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};
template <typename T>
struct IsTimePoint : std::false_type {};
template <typename C, typename D>
struct IsTimePoint<std::chrono::time_point<C, D>> : std::true_type {};

template <typename T>
using MembersOf =
    boost::describe::describe_members<T, boost::describe::mod_public>;

// The number of leading members that every encoding of T has. A struct declares
// kRequiredMembers when members are appended to it; older versions of this
// software send it without these.
template <typename T>
constexpr std::size_t RequiredMembers() {
  if constexpr (requires { T::kRequiredMembers; }) {
    return T::kRequiredMembers;
  } else {
    return boost::mp11::mp_size<MembersOf<T>>::value;
  }
}

}  // namespace codec_detail

// Encodes any value built from described structs, enums, strong types,
// vectors, optionals and variants as MessagePack. Structs become arrays of
// their members in the order of their description, which is the only definition
// of the format. Decoding skips members that a newer version has appended to a
// struct; members that an older version lacks keep their default values.
template <CodecForm form>
class Codec {
 public:
  template <typename T>
  static std::string ToMessagePack(const T& value) {
    std::string bytes;
    Append(value, bytes);
    return bytes;
  }

  template <typename T>
  static void Append(const T& value, std::string& bytes) {
    MessagePackWriter writer(bytes);
    Write(value, writer);
  }

  // Fails if `bytes` are malformed, don't have the layout of T or continue
  // after the value.
  template <typename T>
  static Result<T> FromMessagePack(std::string_view bytes) {
    try {
      MessagePackReader reader(bytes);
      T value{};
      Read(reader, value);
      if (!reader.AtEnd()) return Fail("unexpected trailing bytes");
      return value;
    } catch (const MessagePackError& exception) {
      return Fail(exception.what());
    }
  }

 private:
  // The largest capacity, in items, that a vector gets before its items have
  // been read.
  static constexpr std::size_t kMaximumReserve = 1024;

  template <typename T>
  static void Write(const T& value, MessagePackWriter& writer) {
    if constexpr (std::is_same_v<T, Payload>) {
      WritePayload(value, writer);
    } else if constexpr (IsStrongType<T>::value) {
      Write(value.value(), writer);
    } else if constexpr (codec_detail::IsDuration<T>::value) {
      writer.Signed(value.count());
    } else if constexpr (codec_detail::IsTimePoint<T>::value) {
      writer.Signed(value.time_since_epoch().count());
    } else if constexpr (std::is_enum_v<T>) {
      writer.Signed(static_cast<std::int64_t>(value));
    } else if constexpr (codec_detail::IsOptional<T>::value) {
      value ? Write(*value, writer) : writer.Null();
    } else if constexpr (codec_detail::IsVector<T>::value) {
      writer.ArrayOf(value.size());
      for (const auto& item : value) Write(item, writer);
    } else if constexpr (codec_detail::IsVariant<T>::value) {
      WriteVariant(value, writer);
    } else if constexpr (boost::describe::has_describe_members<T>::value) {
      WriteStruct(value, writer);
    } else {
      WriteScalar(value, writer);
    }
  }

  template <typename T>
  static void WriteScalar(const T& value, MessagePackWriter& writer) {
    if constexpr (std::is_same_v<T, bool>) {
      writer.Boolean(value);
    } else if constexpr (std::is_floating_point_v<T>) {
      writer.Floating(value);
    } else if constexpr (std::is_unsigned_v<T>) {
      writer.Unsigned(value);
    } else if constexpr (std::is_integral_v<T>) {
      writer.Signed(value);
    } else {
      static_assert(std::is_same_v<T, std::string>, "type not supported");
      writer.Text(value);
    }
  }

  template <typename T>
  static void Read(MessagePackReader& reader, T& value) {
    if constexpr (std::is_same_v<T, Payload>) {
      ReadPayload(reader, value);
    } else if constexpr (IsStrongType<T>::value) {
      typename T::ValueType raw{};
      Read(reader, raw);
      value = T(std::move(raw));
    } else if constexpr (codec_detail::IsDuration<T>::value) {
      value = T(reader.Signed());
    } else if constexpr (codec_detail::IsTimePoint<T>::value) {
      value = T(typename T::duration(reader.Signed()));
    } else if constexpr (std::is_enum_v<T>) {
      ReadEnum(reader, value);
    } else if constexpr (codec_detail::IsOptional<T>::value) {
      value.reset();
      if (!reader.TakeNull()) Read(reader, value.emplace());
    } else if constexpr (codec_detail::IsVector<T>::value) {
      ReadVector(reader, value);
    } else if constexpr (codec_detail::IsVariant<T>::value) {
      ReadVariant(reader, value);
    } else if constexpr (boost::describe::has_describe_members<T>::value) {
      ReadStruct(reader, value);
    } else {
      ReadScalar(reader, value);
    }
  }

  template <typename T>
  static void ReadScalar(MessagePackReader& reader, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      value = reader.Boolean();
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<T>(reader.Floating());
    } else if constexpr (std::is_unsigned_v<T>) {
      value = Narrowed<T>(reader.Unsigned());
    } else if constexpr (std::is_integral_v<T>) {
      value = Narrowed<T>(reader.Signed());
    } else {
      static_assert(std::is_same_v<T, std::string>, "type not supported");
      value = reader.Text();
    }
  }

  template <typename T, typename Wide>
  static T Narrowed(Wide value) {
    if (!std::in_range<T>(value)) {
      throw MessagePackError(MessagePackProblem::kMalformed,
                             "integer out of range");
    }
    return static_cast<T>(value);
  }

  // Reads the header of an array of at least `items` items. Returns the number
  // of items beyond these.
  static std::size_t EnterArray(MessagePackReader& reader, std::size_t items) {
    const std::size_t found = reader.ArrayItems();
    if (found < items) {
      throw MessagePackError(MessagePackProblem::kMalformed, "array too short");
    }
    return found - items;
  }

  static void WritePayload(const Payload& payload, MessagePackWriter& writer) {
    if constexpr (form == CodecForm::kWire) {
      writer.Binary(payload.bytes());
    } else {
      writer.ArrayOf(2);
      writer.Unsigned(payload.digest());
      writer.Unsigned(payload.size());
    }
  }

  static void ReadPayload(MessagePackReader& reader, Payload& payload) {
    if constexpr (form == CodecForm::kWire) {
      payload = Payload::FromBytes(std::string(reader.Binary()));
    } else {
      const std::size_t more = EnterArray(reader, 2);
      const std::uint64_t digest = reader.Unsigned();
      payload = Payload::FromRecord(digest, reader.Unsigned());
      reader.Skip(more);
    }
  }

  template <typename T>
  static void ReadEnum(MessagePackReader& reader, T& value) {
    const T candidate =
        static_cast<T>(Narrowed<std::underlying_type_t<T>>(reader.Signed()));
    if (boost::describe::enum_to_string(candidate, nullptr) == nullptr) {
      throw MessagePackError(MessagePackProblem::kMalformed,
                             "unknown enumeration value");
    }
    value = candidate;
  }

  template <typename T>
  static void ReadVector(MessagePackReader& reader, T& value) {
    const std::size_t items = reader.ArrayItems();
    value.clear();
    value.reserve(std::min(items, kMaximumReserve));
    for (std::size_t i = 0; i < items; ++i) Read(reader, value.emplace_back());
  }

  template <typename T>
  static void WriteVariant(const T& value, MessagePackWriter& writer) {
    writer.ArrayOf(2);
    writer.Unsigned(value.index());
    std::visit([&](const auto& alternative) { Write(alternative, writer); },
               value);
  }

  template <typename T>
  static void ReadVariant(MessagePackReader& reader, T& value) {
    const std::size_t more = EnterArray(reader, 2);
    const std::uint64_t index = reader.Unsigned();
    if (index >= std::variant_size_v<T>) {
      throw MessagePackError(MessagePackProblem::kMalformed,
                             "unknown variant index");
    }
    boost::mp11::mp_with_index<std::variant_size_v<T>>(
        index, [&](auto i) { Read(reader, value.template emplace<i>()); });
    reader.Skip(more);
  }

  template <typename T>
  static void WriteStruct(const T& value, MessagePackWriter& writer) {
    using Members = codec_detail::MembersOf<T>;
    writer.ArrayOf(boost::mp11::mp_size<Members>::value);
    boost::mp11::mp_for_each<Members>(
        [&](auto member) { Write(value.*member.pointer, writer); });
  }

  template <typename T>
  static void ReadStruct(MessagePackReader& reader, T& value) {
    using Members = codec_detail::MembersOf<T>;
    std::size_t left = EnterArray(reader, codec_detail::RequiredMembers<T>()) +
                       codec_detail::RequiredMembers<T>();
    boost::mp11::mp_for_each<Members>([&](auto member) {
      if (left == 0) return;
      Read(reader, value.*member.pointer);
      --left;
    });
    reader.Skip(left);
  }
};

// Encodes the same values as human-readable JSON: structs as objects with
// member names, payloads as digest and size.
class NamedCodec {
 public:
  template <typename T>
  static nlohmann::json Encode(const T& value) {
    using nlohmann::json;
    if constexpr (std::is_same_v<T, Payload>) {
      return json::array({value.digest(), value.size()});
    } else if constexpr (IsStrongType<T>::value) {
      return Encode(value.value());
    } else if constexpr (codec_detail::IsDuration<T>::value) {
      return value.count();
    } else if constexpr (codec_detail::IsTimePoint<T>::value) {
      return value.time_since_epoch().count();
    } else if constexpr (std::is_enum_v<T>) {
      return boost::describe::enum_to_string(value, "unknown");
    } else if constexpr (codec_detail::IsOptional<T>::value) {
      return value ? Encode(*value) : json(nullptr);
    } else if constexpr (codec_detail::IsVector<T>::value) {
      json::array_t items;
      items.reserve(value.size());
      for (const auto& item : value) items.push_back(Encode(item));
      return items;
    } else if constexpr (codec_detail::IsVariant<T>::value) {
      return EncodeVariant(value);
    } else if constexpr (boost::describe::has_describe_members<T>::value) {
      return EncodeStruct(value);
    } else {
      return value;
    }
  }

 private:
  template <typename T>
  static nlohmann::json EncodeVariant(const T& value) {
    return std::visit(
        [&](const auto& alternative) -> nlohmann::json {
          using Alternative = std::decay_t<decltype(alternative)>;
          return {{Alternative::kName, Encode(alternative)}};
        },
        value);
  }

  template <typename T>
  static nlohmann::json EncodeStruct(const T& value) {
    nlohmann::json object = nlohmann::json::object();
    boost::mp11::mp_for_each<codec_detail::MembersOf<T>>([&](auto member) {
      object[member.name] = Encode(value.*member.pointer);
    });
    return object;
  }
};

using WireCodec = Codec<CodecForm::kWire>;
using RecordCodec = Codec<CodecForm::kRecord>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_CODEC_H_
