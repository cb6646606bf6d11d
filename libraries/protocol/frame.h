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

// A frame is a 4-byte big-endian body length in bytes, one version byte and the
// body.
inline constexpr std::size_t kFrameHeaderSize = 5;
inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::size_t kMaximumFrameBody = 32U * 1024U * 1024U;

// The protocol error for which the receiver closes a connection.
BOOST_DEFINE_ENUM_CLASS(FrameError, kOversized, kWrongVersion, kMalformed,
                        kTruncated)

struct FrameHeader {
  std::size_t body_size = 0;
  std::optional<FrameError> error;
};

// Fills in the header of the frame that extends from offset `start` to the end
// of `bytes`.
void StoreFrameHeader(std::string& bytes, std::size_t start);

// Appends a frame to `bytes`; `append_body(bytes)` must append its body.
template <typename AppendBody>
void AppendFrame(std::string& bytes, AppendBody&& append_body) {
  const std::size_t start = bytes.size();
  bytes.append(kFrameHeaderSize, '\0');
  append_body(bytes);
  StoreFrameHeader(bytes, start);
}

// Returns a frame with this body.
std::string EncodeFrame(std::string_view body);
// Sets `error` if the version is not kProtocolVersion or the body is longer
// than kMaximumFrameBody.
FrameHeader DecodeFrameHeader(
    const std::array<std::uint8_t, kFrameHeaderSize>& bytes);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_H_
