#include "libraries/protocol/frame_decoder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace dandelionspur {
namespace {

constexpr std::size_t kUsualBytes = 8192;
constexpr std::size_t kMostBufferedForUsualFrames = 2 * kUsualBytes;

// Passes `bytes` to the decoder in pieces of at most `piece` bytes and returns
// the bodies of the decoded frames.
std::vector<std::string> DecodeInPieces(FrameDecoder& decoder,
                                        const std::string& bytes,
                                        std::size_t piece) {
  std::vector<std::string> bodies;
  for (std::size_t at = 0; at < bytes.size();) {
    const std::span<char> room = decoder.Room();
    const std::size_t size = std::min({piece, room.size(), bytes.size() - at});
    std::copy_n(bytes.begin() + static_cast<std::ptrdiff_t>(at), size,
                room.begin());
    decoder.Add(size);
    at += size;
    while (const auto body = decoder.Next()) bodies.emplace_back(*body);
  }
  return bodies;
}

class FrameDecoderTest : public testing::TestWithParam<std::size_t> {};

// Guards against lost, merged or split frames when a read ends inside a header
// or body, or contains several frames.
TEST_P(FrameDecoderTest, DecodesAnyDivisionIntoTheSameFrames) {
  const std::vector<std::string> sent = {"",
                                         "a",
                                         std::string(4091, 'b'),
                                         "",
                                         std::string(100'000, 'c'),
                                         std::string(8187, 'd'),
                                         "end"};
  std::string bytes;
  for (const std::string& body : sent) bytes += EncodeFrame(body);
  FrameDecoder decoder;
  EXPECT_EQ(DecodeInPieces(decoder, bytes, this->GetParam()), sent);
  EXPECT_FALSE(decoder.HasPartialFrame());
  EXPECT_FALSE(decoder.error());
}

INSTANTIATE_TEST_SUITE_P(Pieces, FrameDecoderTest,
                         testing::Values(1, 2, 4, 5, 6, 7, 1000, 4096, 8191,
                                         8192, 1'000'000));

// Guards against a process that buffers what a stranger announces.
TEST(FrameDecoderLimitTest, RefusesABodyAboveTheLimitFromThenOn) {
  FrameDecoder decoder;
  decoder.LimitBody(10);
  const std::string bytes =
      EncodeFrame(std::string(10, 'a')) + EncodeFrame(std::string(11, 'b'));
  EXPECT_EQ(DecodeInPieces(decoder, bytes, bytes.size()),
            std::vector<std::string>{std::string(10, 'a')});
  EXPECT_EQ(decoder.error(), FrameError::kOversized);
}

struct BadHeaderCase {
  const char* name;
  std::string bytes;
  FrameError error;
};

class BadFrameTest : public testing::TestWithParam<BadHeaderCase> {};

// Guards against decoding frames after an invalid header. The frames before it
// must still be decoded.
TEST_P(BadFrameTest, EndsTheStream) {
  FrameDecoder decoder;
  const std::string bytes =
      EncodeFrame("sound") + this->GetParam().bytes + EncodeFrame("unread");
  EXPECT_EQ(DecodeInPieces(decoder, bytes, bytes.size()),
            std::vector<std::string>{"sound"});
  EXPECT_EQ(decoder.error(), this->GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Headers, BadFrameTest,
    testing::Values(BadHeaderCase{"Oversized",
                                  std::string("\x02\0\0\x01\x01", 5),
                                  FrameError::kOversized},
                    BadHeaderCase{"OtherVersion",
                                  std::string("\0\0\0\x01\x02", 5),
                                  FrameError::kWrongVersion}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against exhausting the memory by headers alone: no memory may be
// allocated for an announced body before its bytes arrive.
TEST(FrameDecoderMemoryTest, AnnouncedBodyTakesNoMemoryBeforeItArrives) {
  FrameDecoder decoder;
  const std::string header("\x01\xff\xff\xff\x01", 5);
  EXPECT_TRUE(DecodeInPieces(decoder, header, header.size()).empty());
  EXPECT_TRUE(decoder.HasPartialFrame());
  EXPECT_LE(decoder.Room().size(), kMostBufferedForUsualFrames);
}

// Guards against keeping the buffer of one large frame for the lifetime of the
// connection.
TEST(FrameDecoderMemoryTest, BufferOfALargeFrameIsReleased) {
  FrameDecoder decoder;
  const std::string frame = EncodeFrame(std::string(1'000'000, 'x'));
  EXPECT_EQ(DecodeInPieces(decoder, frame, frame.size()).size(), 1U);
  EXPECT_LE(decoder.Room().size(), kMostBufferedForUsualFrames);
}

}  // namespace
}  // namespace dandelionspur
