#ifndef DANDELIONSPUR_UTILITIES_DANDELIONSPUR_RECORD_ARCHIVE_H_
#define DANDELIONSPUR_UTILITIES_DANDELIONSPUR_RECORD_ARCHIVE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/job_key.h"
#include "libraries/protocol/view.h"
#include "libraries/recording/segment.h"

namespace dandelionspur {

struct NamedSegment {
  // Object name or admin endpoint that the segment was read from, for error
  // messages.
  std::string source;
  Segment segment;
};

// The recorded segments of one process.
struct ProcessRecords {
  ProcessRole role = ProcessRole::kEntry;
  std::uint64_t process = 0;
  // By segment number; a segment read from two sources is stored once.
  std::map<std::uint64_t, NamedSegment> segments;
};

// An event or effect that concerns a job, as a line of text.
struct ExplainedStep {
  // Timestamp::max() for a step that reports unreadable records.
  Timestamp now;
  std::string process;
  std::string text;
};

// The recordings of all processes of a cluster.
class RecordArchive {
 public:
  // Adds an encoded segment; fails if `bytes` cannot be decoded.
  Result<void> Add(const std::string& bytes, const std::string& source);
  // Adds the segments in a body of the admin path /v1/records: each is preceded
  // by its length in bytes, as a 64-bit big-endian number.
  Result<void> AddSegments(const std::string& body, const std::string& source);

  // Replays every process. Returns the number of steps; fails at the first
  // effect that differs from the recording.
  Result<std::uint64_t> ReplayAll() const;
  // The events and effects that concern a job, ordered by time. For each
  // process whose records are incomplete, a step at the end says why.
  Result<std::vector<ExplainedStep>> Explain(const ServiceName& service,
                                             const JobKey& key) const;

  [[nodiscard]] std::size_t process_count() const {
    return this->processes.size();
  }

 private:
  // By process name: "entry-ID" or "agent-ID".
  std::map<std::string, ProcessRecords> processes;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_RECORD_ARCHIVE_H_
