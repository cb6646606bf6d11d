#include "libraries/recording/segment.h"

#include <xxhash.h>
#include <zstd.h>

#include <boost/endian/conversion.hpp>
#include <optional>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

constexpr std::string_view kMagic = "DSPRSEG2";
constexpr std::string_view kUncompressedMagic = "DSPRSEG1";
// Higher levels take more processor time for a few percent in size.
constexpr int kCompressionLevel = 3;
// Far above what a recorder puts into one segment.
constexpr std::size_t kMaximumStepBytes = 64U * 1024U * 1024U;
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kPreambleSize = 16;
constexpr std::size_t kLengthSize = 4;

std::string AtOffset(const std::string& source, std::size_t offset,
                     const std::string& problem) {
  return source + ": offset " + std::to_string(offset) + ": " + problem;
}

void AppendPart(std::string& segment, const std::string& part) {
  std::uint8_t length[kLengthSize];
  boost::endian::store_big_u32(length, static_cast<std::uint32_t>(part.size()));
  segment.append(std::begin(length), std::end(length));
  segment.append(part);
}

// Reads the length-prefixed parts of a segment: the header, then the steps.
class PartReader {
 public:
  PartReader(std::string_view segment, std::size_t begin,
             const std::string& name)
      : bytes(segment), source(name), offset(begin) {}

  [[nodiscard]] bool AtEnd() const {
    return this->offset == this->bytes.size();
  }
  [[nodiscard]] std::size_t position() const { return this->offset; }

  template <typename T>
  Result<T> Next() {
    const std::size_t start = this->offset;
    if (this->bytes.size() - start < kLengthSize) {
      return Fail(AtOffset(this->source, start, "truncated length"));
    }
    const std::size_t length = boost::endian::load_big_u32(
        reinterpret_cast<const std::uint8_t*>(this->bytes.data() + start));
    this->offset += kLengthSize;
    if (this->bytes.size() - this->offset < length) {
      return Fail(AtOffset(this->source, start, "truncated record"));
    }
    const std::string_view part = this->bytes.substr(this->offset, length);
    this->offset += length;
    return boost::leaf::try_handle_some(
        [&] { return RecordCodec::FromMessagePack<T>(part); },
        [&](const Error& problem) -> Result<T> {
          return Fail(AtOffset(this->source, start, problem.message));
        });
  }

 private:
  std::string_view bytes;
  const std::string& source;
  std::size_t offset;
};

// The size of the preamble and the header of a well-formed segment.
std::size_t StepsOffset(std::string_view segment) {
  const std::size_t length = boost::endian::load_big_u32(
      reinterpret_cast<const std::uint8_t*>(segment.data() + kPreambleSize));
  return kPreambleSize + kLengthSize + length;
}

Result<std::string> Decompress(std::string_view frame,
                               const std::string& source, std::size_t offset) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaximumStepBytes) {
    return Fail(AtOffset(source, offset, "malformed compressed records"));
  }
  std::string steps(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
      ZSTD_decompress(steps.data(), steps.size(), frame.data(), frame.size());
  if (ZSTD_isError(written) != 0U || written != steps.size()) {
    return Fail(AtOffset(source, offset, "truncated compressed records"));
  }
  return steps;
}

}  // namespace

std::string EncodeSegmentStart(const SegmentHeader& header) {
  std::string segment(kMagic);
  segment.append(kChecksumSize, '\0');
  AppendPart(segment, RecordCodec::ToMessagePack(header));
  return segment;
}

void AppendStep(std::string& segment, const RecordedStep& step) {
  AppendPart(segment, RecordCodec::ToMessagePack(step));
}

void SealSegment(std::string& segment) {
  const std::size_t begin = StepsOffset(segment);
  const std::string steps = segment.substr(begin);
  segment.resize(begin + ZSTD_compressBound(steps.size()));
  const std::size_t compressed =
      ZSTD_compress(segment.data() + begin, segment.size() - begin,
                    steps.data(), steps.size(), kCompressionLevel);
  // Compression fails only without memory; the segment is then kept as it was,
  // in the uncompressed format.
  if (ZSTD_isError(compressed) != 0U) {
    segment.replace(begin, std::string::npos, steps);
    segment.replace(0, kUncompressedMagic.size(), kUncompressedMagic);
  } else {
    segment.resize(begin + compressed);
    segment.shrink_to_fit();
  }
  const std::string_view bytes = segment;
  const std::uint64_t checksum = DigestOf(bytes.substr(kPreambleSize));
  boost::endian::store_big_u64(
      reinterpret_cast<std::uint8_t*>(segment.data() + kMagic.size()),
      checksum);
}

Result<Segment> DecodeSegment(std::string_view bytes,
                              const std::string& source) {
  const bool is_compressed = bytes.starts_with(kMagic);
  const bool is_segment =
      is_compressed || bytes.starts_with(kUncompressedMagic);
  if (bytes.size() < kPreambleSize || !is_segment) {
    return Fail(AtOffset(source, 0, "not a segment of dandelionspur"));
  }
  PartReader reader(bytes, kPreambleSize, source);
  Segment segment;
  BOOST_LEAF_AUTO(header, reader.Next<SegmentHeader>());
  segment.header = std::move(header);
  std::string decompressed;
  std::string_view steps = bytes.substr(reader.position());
  if (is_compressed) {
    BOOST_LEAF_ASSIGN(decompressed,
                      Decompress(steps, source, reader.position()));
    steps = decompressed;
  }
  PartReader step_reader(steps, 0, source);
  while (!step_reader.AtEnd()) {
    BOOST_LEAF_AUTO(step, step_reader.Next<RecordedStep>());
    segment.steps.push_back(std::move(step));
  }
  const std::uint64_t expected = boost::endian::load_big_u64(
      reinterpret_cast<const std::uint8_t*>(bytes.data() + kMagic.size()));
  if (DigestOf(bytes.substr(kPreambleSize)) != expected) {
    return Fail(AtOffset(source, kMagic.size(),
                         "the checksum does not match the records"));
  }
  return segment;
}

std::string SegmentObjectKey(const SegmentHeader& header) {
  constexpr std::size_t kNumberWidth = 8;
  std::string number = std::to_string(header.number);
  number.insert(0, kNumberWidth - std::min(kNumberWidth, number.size()), '0');
  const std::string role =
      header.role == ProcessRole::kEntry ? "entry" : "agent";
  return kRecordsPrefix + role + "-" + std::to_string(header.process) + "." +
         number;
}

std::uint64_t DigestOf(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace dandelionspur
