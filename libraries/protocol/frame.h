#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_H_

#include <array>
#include <boost/describe.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionspur {

// A frame is a 4-byte big-endian body length, one version byte and the body.
inline constexpr std::size_t kFrameHeaderSize = 5;
inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::size_t kMaximumFrameBody = 32U * 1024U * 1024U;

// Why a connection was closed by its reader.
BOOST_DEFINE_ENUM_CLASS(FrameError, kOversized, kWrongVersion, kMalformed,
                        kTruncated)

struct FrameHeader {
  std::size_t body_size = 0;
  std::optional<FrameError> error;
};

// Fills in the header of the frame that begins at `start` and ends with
// `bytes`.
void StoreFrameHeader(std::string& bytes, std::size_t start);

// Appends a frame; `append_body` appends its body to the same bytes.
template <typename AppendBody>
void AppendFrame(std::string& bytes, AppendBody&& append_body) {
  const std::size_t start = bytes.size();
  bytes.append(kFrameHeaderSize, '\0');
  append_body(bytes);
  StoreFrameHeader(bytes, start);
}

// The header followed by `body`.
std::string EncodeFrame(std::string_view body);
FrameHeader DecodeFrameHeader(
    const std::array<std::uint8_t, kFrameHeaderSize>& bytes);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_H_
