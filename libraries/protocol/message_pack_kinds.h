#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_KINDS_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_KINDS_H_

#include <cstdint>

// The bytes that MessagePack values begin with; no maps and no extensions,
// which our messages don't use.
namespace dandelionspur::message_pack {

// Small values share a byte with their kind.
inline constexpr std::uint8_t kPositiveFixEnd = 0x80;
inline constexpr std::uint8_t kFixArray = 0x90;
inline constexpr std::uint8_t kFixText = 0xa0;
inline constexpr std::uint8_t kFixTextEnd = 0xc0;
inline constexpr std::uint8_t kNegativeFix = 0xe0;
inline constexpr std::uint8_t kFixArrayItems = 0x0f;
inline constexpr std::uint8_t kFixTextSize = 0x1f;
inline constexpr std::int8_t kLowestNegativeFix = -32;

inline constexpr std::uint8_t kNull = 0xc0;
inline constexpr std::uint8_t kFalse = 0xc2;
inline constexpr std::uint8_t kTrue = 0xc3;
inline constexpr std::uint8_t kBinary8 = 0xc4;
inline constexpr std::uint8_t kBinary16 = 0xc5;
inline constexpr std::uint8_t kBinary32 = 0xc6;
inline constexpr std::uint8_t kFloat32 = 0xca;
inline constexpr std::uint8_t kFloat64 = 0xcb;
inline constexpr std::uint8_t kUnsigned8 = 0xcc;
inline constexpr std::uint8_t kUnsigned16 = 0xcd;
inline constexpr std::uint8_t kUnsigned32 = 0xce;
inline constexpr std::uint8_t kUnsigned64 = 0xcf;
inline constexpr std::uint8_t kSigned8 = 0xd0;
inline constexpr std::uint8_t kSigned16 = 0xd1;
inline constexpr std::uint8_t kSigned32 = 0xd2;
inline constexpr std::uint8_t kSigned64 = 0xd3;
inline constexpr std::uint8_t kText8 = 0xd9;
inline constexpr std::uint8_t kText16 = 0xda;
inline constexpr std::uint8_t kText32 = 0xdb;
inline constexpr std::uint8_t kArray16 = 0xdc;
inline constexpr std::uint8_t kArray32 = 0xdd;

}  // namespace dandelionspur::message_pack

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_MESSAGE_PACK_KINDS_H_
