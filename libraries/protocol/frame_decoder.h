#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_DECODER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_DECODER_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "libraries/protocol/frame.h"

namespace dandelionspur {

// Splits a byte stream into frames, however the reads divide it. Keeps one
// buffer, which grows with the bytes received, not with announced lengths.
class FrameDecoder {
 public:
  // The buffer for the next read; never empty. Invalidates what Next() has
  // returned.
  [[nodiscard]] std::span<char> Room();
  // Appends the first `received` bytes of the buffer from Room() to the stream.
  void Add(std::size_t received);

  // The body of the next frame, valid until Room() is called. Returns nothing
  // if the frame is incomplete or its header invalid.
  [[nodiscard]] std::optional<std::string_view> Next();
  // From now on, a frame with a longer body is invalid.
  void LimitBody(std::size_t bytes) { this->maximum_body = bytes; }
  // The error of the first invalid header, after which Next() returns no more
  // frames.
  [[nodiscard]] std::optional<FrameError> error() const {
    return this->problem;
  }
  // Whether the buffer ends with an incomplete frame.
  [[nodiscard]] bool HasPartialFrame() const { return this->begin < this->end; }

 private:
  // Moves what Next() has not consumed to the front of the buffer.
  void MoveToFront();

  std::vector<char> buffer;
  // The range of `buffer` that Next() has not consumed.
  std::size_t begin = 0;
  std::size_t end = 0;
  std::size_t maximum_body = kMaximumFrameBody;
  std::optional<FrameError> problem;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_DECODER_H_
