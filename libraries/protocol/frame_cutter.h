#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_CUTTER_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_CUTTER_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "libraries/protocol/frame.h"

namespace dandelionspur {

// Cuts a stream of bytes into frames, however the bytes were divided on their
// way. Keeps one buffer, which grows only as far as bytes have come.
class FrameCutter {
 public:
  // Where the next bytes go; never empty. Ends what Next() has returned.
  [[nodiscard]] std::span<char> Room();
  // This many bytes were put into the room.
  void Add(std::size_t received);

  // The body of the next whole frame, valid until Room() is called; nothing
  // where bytes are missing or the frame can't be right.
  [[nodiscard]] std::optional<std::string_view> Next();
  // Why Next() gives nothing more, once a frame can't be right.
  [[nodiscard]] std::optional<FrameError> error() const {
    return this->problem;
  }
  // Whether a frame has begun and its end is missing.
  [[nodiscard]] bool IsInsideFrame() const { return this->begin < this->end; }

 private:
  std::vector<char> buffer;
  // What was received and not yet cut.
  std::size_t begin = 0;
  std::size_t end = 0;
  std::optional<FrameError> problem;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_FRAME_CUTTER_H_
