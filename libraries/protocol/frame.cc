#include "libraries/protocol/frame.h"

#include <boost/endian/conversion.hpp>

namespace dandelionspur {

std::string EncodeFrame(std::string_view body) {
  std::array<std::uint8_t, kFrameHeaderSize> header{};
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(body.size()));
  header.back() = kProtocolVersion;
  std::string frame(header.begin(), header.end());
  frame.append(body);
  return frame;
}

FrameHeader DecodeFrameHeader(
    const std::array<std::uint8_t, kFrameHeaderSize>& bytes) {
  FrameHeader header;
  header.body_size = boost::endian::load_big_u32(bytes.data());
  if (bytes.back() != kProtocolVersion) {
    header.error = FrameError::kWrongVersion;
  } else if (header.body_size > kMaximumFrameBody) {
    header.error = FrameError::kOversized;
  }
  return header;
}

}  // namespace dandelionspur
