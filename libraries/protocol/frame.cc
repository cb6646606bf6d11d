#include "libraries/protocol/frame.h"

#include <boost/endian/conversion.hpp>

namespace dandelionspur {

void StoreFrameHeader(std::string& bytes, std::size_t start) {
  const std::size_t body_size = bytes.size() - start - kFrameHeaderSize;
  auto* header = reinterpret_cast<std::uint8_t*>(bytes.data() + start);
  boost::endian::store_big_u32(header, static_cast<std::uint32_t>(body_size));
  header[kFrameHeaderSize - 1] = kProtocolVersion;
}

std::string EncodeFrame(std::string_view body) {
  std::string frame;
  AppendFrame(frame, [&](std::string& bytes) { bytes.append(body); });
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
