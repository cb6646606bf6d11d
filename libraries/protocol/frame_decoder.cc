#include "libraries/protocol/frame_decoder.h"

#include <algorithm>
#include <array>

namespace dandelionspur {
namespace {

// Holds dozens of the usual frames.
constexpr std::size_t kInitialBufferBytes = 8192;
constexpr std::size_t kMinimumReadBytes = kInitialBufferBytes / 2;

}  // namespace

std::span<char> FrameDecoder::Room() {
  this->MoveToFront();
  if (this->end == 0 && this->buffer.size() > kInitialBufferBytes) {
    // Releases the memory of a large frame that has been consumed.
    this->buffer = {};
  }
  const std::size_t wanted = this->end + kMinimumReadBytes;
  if (this->buffer.size() < wanted) {
    this->buffer.resize(std::max(kInitialBufferBytes, 2 * this->end));
  }
  return std::span(this->buffer).subspan(this->end);
}

void FrameDecoder::MoveToFront() {
  // A frame that arrives in many reads is moved once.
  if (this->begin == 0) return;
  std::copy(this->buffer.begin() + static_cast<std::ptrdiff_t>(this->begin),
            this->buffer.begin() + static_cast<std::ptrdiff_t>(this->end),
            this->buffer.begin());
  this->end -= this->begin;
  this->begin = 0;
}

void FrameDecoder::Add(std::size_t received) { this->end += received; }

std::optional<std::string_view> FrameDecoder::Next() {
  const std::string_view unread(this->buffer.data() + this->begin,
                                this->end - this->begin);
  if (this->problem || unread.size() < kFrameHeaderSize) return std::nullopt;
  std::array<std::uint8_t, kFrameHeaderSize> header{};
  std::copy_n(unread.begin(), kFrameHeaderSize, header.begin());
  const FrameHeader decoded = DecodeFrameHeader(header);
  if (decoded.error) {
    this->problem = decoded.error;
    return std::nullopt;
  }
  if (decoded.body_size > this->maximum_body) {
    this->problem = FrameError::kOversized;
    return std::nullopt;
  }
  const std::size_t size = kFrameHeaderSize + decoded.body_size;
  if (unread.size() < size) return std::nullopt;
  this->begin += size;
  return unread.substr(kFrameHeaderSize, decoded.body_size);
}

}  // namespace dandelionspur
