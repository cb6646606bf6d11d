#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_CODEC_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_CODEC_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/payload.h"
#include "libraries/base/strong_type.h"

namespace dandelionspur {

// How a typed value is laid out.
// kWire: arrays by position, payloads with their bytes.
// kRecord: arrays by position, payloads as digest and size.
// kNamed: objects with member names, for people.
enum class CodecForm { kWire, kRecord, kNamed };

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

}  // namespace codec_detail

// Encodes any value built from described structs, enums, strong types,
// vectors, optionals and variants. The structs' own descriptions are the only
// definition of the format.
template <CodecForm form>
class Codec {
 public:
  template <typename T>
  static nlohmann::json Encode(const T& value) {
    using nlohmann::json;
    if constexpr (std::is_same_v<T, Payload>) {
      return EncodePayload(value);
    } else if constexpr (IsStrongType<T>::value) {
      return Encode(value.value());
    } else if constexpr (codec_detail::IsDuration<T>::value) {
      return value.count();
    } else if constexpr (codec_detail::IsTimePoint<T>::value) {
      return value.time_since_epoch().count();
    } else if constexpr (std::is_enum_v<T>) {
      return EncodeEnum(value);
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

  // Throws nlohmann::json::exception or std::out_of_range where `source` does
  // not have the layout of T; Decode below turns both into an error.
  template <typename T>
  static void Read(const nlohmann::json& source, T& value) {
    static_assert(form != CodecForm::kNamed, "the named form is write-only");
    if constexpr (std::is_same_v<T, Payload>) {
      ReadPayload(source, value);
    } else if constexpr (IsStrongType<T>::value) {
      typename T::ValueType raw{};
      Read(source, raw);
      value = T(std::move(raw));
    } else if constexpr (codec_detail::IsDuration<T>::value) {
      value = T(source.get<typename T::rep>());
    } else if constexpr (codec_detail::IsTimePoint<T>::value) {
      value = T(typename T::duration(source.get<typename T::rep>()));
    } else if constexpr (std::is_enum_v<T>) {
      ReadEnum(source, value);
    } else if constexpr (codec_detail::IsOptional<T>::value) {
      value.reset();
      if (!source.is_null()) Read(source, value.emplace());
    } else if constexpr (codec_detail::IsVector<T>::value) {
      value.clear();
      value.reserve(source.get_ref<const nlohmann::json::array_t&>().size());
      for (const auto& item : source) Read(item, value.emplace_back());
    } else if constexpr (codec_detail::IsVariant<T>::value) {
      ReadVariant(source, value);
    } else if constexpr (boost::describe::has_describe_members<T>::value) {
      ReadStruct(source, value);
    } else {
      source.get_to(value);
    }
  }

  template <typename T>
  static std::string ToMessagePack(const T& value) {
    std::string bytes;
    nlohmann::json::to_msgpack(Encode(value), bytes);
    return bytes;
  }

  template <typename T>
  static Result<T> FromMessagePack(std::string_view bytes) {
    try {
      T value{};
      Read(nlohmann::json::from_msgpack(bytes), value);
      return value;
    } catch (const nlohmann::json::exception& exception) {
      return Fail(exception.what());
    } catch (const std::out_of_range& exception) {
      return Fail(exception.what());
    }
  }

 private:
  static nlohmann::json EncodePayload(const Payload& payload) {
    if constexpr (form == CodecForm::kWire) {
      const std::string& bytes = payload.bytes();
      return nlohmann::json::binary(
          std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
    } else {
      return nlohmann::json::array({payload.digest(), payload.size()});
    }
  }

  static void ReadPayload(const nlohmann::json& source, Payload& payload) {
    if constexpr (form == CodecForm::kWire) {
      const auto& bytes = source.get_binary();
      payload = Payload::FromBytes(std::string(bytes.begin(), bytes.end()));
    } else {
      payload = Payload::FromRecord(source.at(0).get<std::uint64_t>(),
                                    source.at(1).get<std::uint64_t>());
    }
  }

  template <typename T>
  static nlohmann::json EncodeEnum(T value) {
    if constexpr (form == CodecForm::kNamed) {
      return boost::describe::enum_to_string(value, "unknown");
    } else {
      return static_cast<std::int64_t>(value);
    }
  }

  template <typename T>
  static void ReadEnum(const nlohmann::json& source, T& value) {
    const T candidate = static_cast<T>(source.get<std::int64_t>());
    if (boost::describe::enum_to_string(candidate, nullptr) == nullptr) {
      throw std::out_of_range("unknown enumerator");
    }
    value = candidate;
  }

  template <typename T>
  static nlohmann::json EncodeVariant(const T& value) {
    return std::visit(
        [&](const auto& alternative) -> nlohmann::json {
          using Alternative = std::decay_t<decltype(alternative)>;
          if constexpr (form == CodecForm::kNamed) {
            return {{Alternative::kName, Encode(alternative)}};
          } else {
            return nlohmann::json::array({value.index(), Encode(alternative)});
          }
        },
        value);
  }

  template <typename T>
  static void ReadVariant(const nlohmann::json& source, T& value) {
    const auto index = source.at(0).get<std::size_t>();
    if (index >= std::variant_size_v<T>) {
      throw std::out_of_range("unknown message type");
    }
    boost::mp11::mp_with_index<std::variant_size_v<T>>(index, [&](auto i) {
      Read(source.at(1), value.template emplace<i>());
    });
  }

  template <typename T>
  static nlohmann::json EncodeStruct(const T& value) {
    if constexpr (form == CodecForm::kNamed) {
      nlohmann::json object = nlohmann::json::object();
      boost::mp11::mp_for_each<codec_detail::MembersOf<T>>([&](auto member) {
        object[member.name] = Encode(value.*member.pointer);
      });
      return object;
    } else {
      nlohmann::json::array_t items;
      boost::mp11::mp_for_each<codec_detail::MembersOf<T>>(
          [&](auto member) { items.push_back(Encode(value.*member.pointer)); });
      return items;
    }
  }

  template <typename T>
  static void ReadStruct(const nlohmann::json& source, T& value) {
    std::size_t position = 0;
    boost::mp11::mp_for_each<codec_detail::MembersOf<T>>([&](auto member) {
      Read(source.at(position), value.*member.pointer);
      ++position;
    });
  }
};

using WireCodec = Codec<CodecForm::kWire>;
using RecordCodec = Codec<CodecForm::kRecord>;
using NamedCodec = Codec<CodecForm::kNamed>;

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_CODEC_H_
