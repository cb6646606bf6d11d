#ifndef DANDELIONSPUR_LIBRARIES_RECORDING_SEGMENT_H_
#define DANDELIONSPUR_LIBRARIES_RECORDING_SEGMENT_H_

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/time.h"
#include "libraries/protocol/hello.h"

namespace dandelionspur {

// Which process a segment is from and where it belongs.
struct SegmentHeader {
  ProcessRole role = ProcessRole::kEntry;
  std::uint64_t process = 0;
  // Segments of a process are numbered from 0.
  std::uint64_t number = 0;
  // Number of the segment's first record among the process's records.
  std::uint64_t first_record = 0;
  // MessagePack of the core's settings, in record form.
  std::string settings;
};
BOOST_DESCRIBE_STRUCT(SegmentHeader, (),
                      (role, process, number, first_record, settings))

// One step of a core: an event, when it was handled, and a digest of the
// effects.
struct RecordedStep {
  Timestamp now;
  // MessagePack of the event, in record form.
  std::string event;
  // xxh3 of the MessagePack of the effects, in record form.
  std::uint64_t effects_digest = 0;
};
BOOST_DESCRIBE_STRUCT(RecordedStep, (), (now, event, effects_digest))

struct Segment {
  SegmentHeader header;
  std::vector<RecordedStep> steps;
};

// Layout: 8 bytes of magic, the xxh3 of the rest as 8 big-endian bytes, then
// the header and the steps, each as a 4-byte big-endian length and MessagePack.
std::string EncodeSegmentStart(const SegmentHeader& header);
void AppendStep(std::string& segment, const RecordedStep& step);
// Fills in the checksum of a complete segment.
void SealSegment(std::string& segment);
// Fails with the offset of the first byte that can't be right.
Result<Segment> DecodeSegment(std::string_view bytes,
                              const std::string& source);

// What the names of all segments in the object store begin with.
inline constexpr const char* kRecordsPrefix = "records.";
// "records.entry-ID.00000012".
std::string SegmentObjectKey(const SegmentHeader& header);

std::uint64_t DigestOf(std::string_view bytes);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_RECORDING_SEGMENT_H_
