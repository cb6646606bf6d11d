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
  // Where it came from, for errors.
  std::string source;
  Segment segment;
};

// The segments of one process, in order.
struct ProcessRecords {
  ProcessRole role = ProcessRole::kEntry;
  std::uint64_t process = 0;
  // By number; the same segment from two sources counts once.
  std::map<std::uint64_t, NamedSegment> segments;
};

// One line of an explanation.
struct ExplainedStep {
  Timestamp now;
  std::string process;
  std::string text;
};

// The records of many processes.
class RecordArchive {
 public:
  // Takes in one segment; fails where the bytes are not a sound segment.
  Result<void> Add(const std::string& bytes, const std::string& source);
  // Takes in a body of the admin path /v1/records.
  Result<void> AddList(const std::string& body, const std::string& source);

  // Runs every process again. Returns the number of steps; fails at the
  // first effect that differs.
  Result<std::uint64_t> ReplayAll() const;
  // The steps that concern a job, in order of time. Gaps in the records are
  // reported as steps of their own.
  Result<std::vector<ExplainedStep>> Explain(const ServiceName& service,
                                             const JobKey& key) const;

  [[nodiscard]] std::size_t process_count() const {
    return this->processes.size();
  }

 private:
  // By "entry-ID" or "agent-ID".
  std::map<std::string, ProcessRecords> processes;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_UTILITIES_DANDELIONSPUR_RECORD_ARCHIVE_H_
