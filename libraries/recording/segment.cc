#include "libraries/recording/segment.h"

#include <xxhash.h>

#include <boost/endian/conversion.hpp>
#include <optional>

#include "libraries/protocol/codec.h"

namespace dandelionspur {
namespace {

constexpr std::string_view kMagic = "DSPRSEG1";
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
  PartReader(std::string_view segment, const std::string& name)
      : bytes(segment), source(name) {}

  [[nodiscard]] bool AtEnd() const {
    return this->offset == this->bytes.size();
  }

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
  std::size_t offset = kPreambleSize;
};

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
  const std::string_view bytes = segment;
  const std::uint64_t checksum = DigestOf(bytes.substr(kPreambleSize));
  boost::endian::store_big_u64(
      reinterpret_cast<std::uint8_t*>(segment.data() + kMagic.size()),
      checksum);
}

Result<Segment> DecodeSegment(std::string_view bytes,
                              const std::string& source) {
  if (bytes.size() < kPreambleSize || !bytes.starts_with(kMagic)) {
    return Fail(AtOffset(source, 0, "not a segment of dandelionspur"));
  }
  PartReader reader(bytes, source);
  Segment segment;
  BOOST_LEAF_AUTO(header, reader.Next<SegmentHeader>());
  segment.header = std::move(header);
  while (!reader.AtEnd()) {
    BOOST_LEAF_AUTO(step, reader.Next<RecordedStep>());
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
