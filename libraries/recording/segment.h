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

// Identifies the process that recorded a segment, and the segment's position in
// its recording.
struct SegmentHeader {
  ProcessRole role = ProcessRole::kEntry;
  // The EntryId or AgentId, by `role`.
  std::uint64_t process = 0;
  // Segments of a process are numbered from 0.
  std::uint64_t number = 0;
  // Number of the segment's first record; a process's records are numbered from
  // 0.
  std::uint64_t first_record = 0;
  // MessagePack of the core's settings, in record form.
  std::string settings;
};
BOOST_DESCRIBE_STRUCT(SegmentHeader, (),
                      (role, process, number, first_record, settings))

// One step of a core: an event, the core's time when it was handled, and a
// digest of its effects.
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

// Returns the start of a segment up to its first step. A segment consists of 8
// bytes of magic, the xxh3 of all that follows as 8 big-endian bytes, the
// header and the steps. Header and steps are MessagePack in record form, each
// preceded by its length in bytes as 4 big-endian bytes. In a sealed segment
// the steps are compressed together, as one Zstandard frame.
std::string EncodeSegmentStart(const SegmentHeader& header);
void AppendStep(std::string& segment, const RecordedStep& step);
// Compresses the steps and fills in the checksum, after the last step.
void SealSegment(std::string& segment);
// Fails if the segment is truncated or malformed or its checksum doesn't match.
// The error message begins with `source` and the offset of the damaged part.
// Also decodes segments of earlier versions, which are not compressed.
Result<Segment> DecodeSegment(std::string_view bytes,
                              const std::string& source);

// The prefix of all segments' keys in the object store.
inline constexpr const char* kRecordsPrefix = "records.";
// The key of a segment in the object store, such as
// "records.entry-ID.00000012".
std::string SegmentObjectKey(const SegmentHeader& header);

// The xxh3 of the bytes, 64 bits wide.
std::uint64_t DigestOf(std::string_view bytes);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_RECORDING_SEGMENT_H_
