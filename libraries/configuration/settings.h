#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_

#include <cstdint>
#include <string>

#include "libraries/base/error.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// What the recorder may hold and write.
struct RecordingSettings {
  // Unsent part held in memory; older segments are dropped and counted.
  std::uint64_t spool_bytes = 0;
  // Least time between two writes to the object store.
  Duration write_interval{};
};

struct EntrySettings {
  DataCentreName data_centre;
  Endpoint callers;
  Endpoint peers;
  Endpoint admin;
  Endpoint table;
  std::uint32_t input_output_threads = 0;
  std::uint32_t bucket_count = 0;
  Duration duplicate_window{};
  // Silence after which another entry is suspected, and its buckets taken
  // over.
  Duration suspect_after{};
  // Silence after which an entry is taken out of the view.
  Duration remove_after{};
  RecordingSettings recording;
};

struct AgentSettings {
  DataCentreName data_centre;
  // Where the upstream announces itself, and where operators look.
  Endpoint admin;
  Endpoint table;
  std::uint32_t upstream_connections = 0;
  std::uint32_t bucket_count = 0;
  std::uint32_t maximum_remembered_tasks = 0;
  std::uint64_t maximum_answer_bytes = 0;
  Duration duplicate_window{};
  // Length of the lease under which the upstream runs a task; renewed at half
  // of it.
  Duration lease{};
  RecordingSettings recording;
};

Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source);
Result<AgentSettings> ParseAgentSettings(const std::string& text,
                                         const std::string& source);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_
