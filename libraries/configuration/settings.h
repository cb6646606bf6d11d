#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/protocol/view.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {

// What the recorder may hold and write.
struct RecordingSettings {
  // Unsent part held in memory; older segments are dropped and counted.
  std::uint64_t spool_bytes = 0;
  // Least time between two writes to the object store.
  Duration write_interval{};
  auto operator<=>(const RecordingSettings&) const = default;
};

// How an agent and its upstream talk.
// kOwn: the upstream announces itself at the admin address, and one call runs
// one task: docs/api.md.
// kPlatform: as on the users' platform: docs/design/platform.md.
BOOST_DEFINE_ENUM_CLASS(UpstreamProtocol, kOwn, kPlatform)

struct EntrySettings {
  DataCentreName data_centre;
  Endpoint callers;
  // Where the platform asks whether callers should be sent here; besides
  // /readyz at the admin address.
  std::optional<Endpoint> readiness;
  Endpoint peers;
  Endpoint admin;
  Endpoint table;
  // What the instance's processor can do, in thousandths of a core; in
  // proportion to it, the entry is home of keys.
  std::uint32_t millicores = 0;
  // 0: one thread does everything, for an instance with one core.
  std::uint32_t input_output_threads = 0;
  std::uint32_t bucket_count = 0;
  Duration duplicate_window{};
  // Silence after which another entry is suspected, and its buckets taken
  // over.
  Duration suspect_after{};
  // Silence after which an entry is taken out of the view.
  Duration remove_after{};
  // Longest lease under which any agent lets an upstream run tasks.
  Duration lease{};
  // After a request to stop, callers may still come for this long.
  Duration drain_accepts{};
  // After a request to stop, the process is killed by then.
  Duration stop_within{};
  RecordingSettings recording;
  LogSettings log;
};
BOOST_DESCRIBE_STRUCT(EntrySettings, (),
                      (data_centre, callers, readiness, peers, admin, table,
                       millicores, input_output_threads, bucket_count,
                       duplicate_window, suspect_after, remove_after, lease,
                       drain_accepts, stop_within, recording, log))

struct AgentSettings {
  DataCentreName data_centre;
  // Where operators look, and the upstream announces itself in our protocol.
  Endpoint admin;
  UpstreamProtocol upstream_protocol = UpstreamProtocol::kOwn;
  // Where the upstream announces itself in the platform's protocol.
  std::optional<Endpoint> announcements;
  // 0: one thread does everything, for an instance with one core.
  std::uint32_t input_output_threads = 0;
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
  LogSettings log;
};
BOOST_DESCRIBE_STRUCT(AgentSettings, (),
                      (data_centre, admin, upstream_protocol, announcements,
                       input_output_threads, table, upstream_connections,
                       bucket_count, maximum_remembered_tasks,
                       maximum_answer_bytes, duplicate_window, lease, recording,
                       log))

Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source);
Result<AgentSettings> ParseAgentSettings(const std::string& text,
                                         const std::string& source);

// The names of the settings that differ.
template <typename Settings>
std::vector<std::string> ChangedSettings(const Settings& before,
                                         const Settings& after) {
  std::vector<std::string> changed;
  boost::mp11::mp_for_each<
      boost::describe::describe_members<Settings, boost::describe::mod_public>>(
      [&](auto member) {
        if (!(before.*member.pointer == after.*member.pointer)) {
          changed.emplace_back(member.name);
        }
      });
  return changed;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_
