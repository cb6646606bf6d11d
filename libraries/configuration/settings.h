#ifndef DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_
#define DANDELIONSPUR_LIBRARIES_CONFIGURATION_SETTINGS_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/configuration/service_document.h"
#include "libraries/protocol/view.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {

// Limits for the recorder's memory and write rate.
struct RecordingSettings {
  // The maximum size of the segments in memory that have not been uploaded. If
  // it is exceeded, the oldest segments are dropped and counted.
  std::uint64_t spool_bytes = 0;
  // Records are stored at the latest after this time, if `bytes_per_second`
  // allows it.
  Duration write_interval{};
  // The highest rate at which segments are stored, a share of the link's
  // capacity.
  std::uint64_t bytes_per_second = 0;
  auto operator<=>(const RecordingSettings&) const = default;
};

// What the callers of a process can make it hold. The defaults exceed what the
// requests need that this software serves.
struct ClientLimitSettings {
  static constexpr std::uint64_t kMaximumUsualBodyBytes = 16ULL * 1024 * 1024;
  // The request line and the header fields of a request.
  std::uint32_t header_bytes = 16'384;
  // 0: derived from the process's memory, at most kMaximumUsualBodyBytes.
  std::uint64_t body_bytes = 0;
  // Sizes and extensions of a request's chunks, and its trailer.
  std::uint64_t framing_bytes = 1'048'576;
  // From a request's first byte to its last.
  Duration request_time = std::chrono::seconds(120);
  // From an answer's first byte to its last.
  Duration answer_time = std::chrono::seconds(120);
  // Unfinished requests and answers of all connections of one endpoint; 0:
  // derived from the process's memory.
  std::uint64_t held_bytes = 0;
  // The file descriptors that the process may have open; 0: as many as the
  // system allows.
  std::uint32_t descriptors = 0;
  // Connections to the endpoint for callers, at a time; 0: derived from the
  // descriptors.
  std::uint32_t connections = 0;
  auto operator<=>(const ClientLimitSettings&) const = default;
};

// The protocol between an agent and its upstream.
// kOwn: the upstream announces itself at the admin address, and one call runs
// one task: docs/api.md.
// kPlatform: the protocol of the users' platform: docs/design/platform.md.
BOOST_DEFINE_ENUM_CLASS(UpstreamProtocol, kOwn, kPlatform)

struct EntrySettings {
  DataCentreName data_centre;
  Endpoint callers;
  // An address, in addition to /readyz at the admin address, at which the
  // platform queries whether callers should be sent to this entry.
  std::optional<Endpoint> readiness;
  Endpoint peers;
  Endpoint admin;
  Endpoint table;
  // Between agents and upstreams. Default: kPlatform if `readiness` is given.
  UpstreamProtocol upstream_protocol = UpstreamProtocol::kOwn;
  // The processor capacity of the instance, in thousandths of a core. The entry
  // is the home, the owner of the bucket, of a share of the keys in proportion
  // to its capacity.
  std::uint32_t millicores = 0;
  // The capacity of the instance's own link.
  std::uint64_t link_bytes_per_second = 0;
  // The process is killed above this much memory; 0: not limited.
  std::uint64_t memory_bytes = 0;
  // 0: a single thread does everything, for an instance with one core.
  std::uint32_t input_output_threads = 0;
  std::uint32_t bucket_count = 0;
  Duration duplicate_window{};
  // After this time without a heartbeat, another entry is suspected and its
  // buckets are taken over.
  Duration suspect_after{};
  // After this time without a heartbeat, another entry is removed from the
  // view.
  Duration remove_after{};
  // The longest lease under which any agent lets an upstream run tasks.
  Duration lease{};
  ClientLimitSettings client_limits;
  // How long callers are still accepted after a request to stop.
  Duration drain_accepts{};
  // The time from a request to stop until the process is killed.
  Duration stop_within{};
  // For services whose document names none.
  PlacementKind placement = PlacementKind::kFastestFree;
  InterferenceHandling interference = InterferenceHandling::kIgnore;
  // Whether all agents list their addresses in the table: `lists_address` of
  // their settings.
  bool agents_are_listed = false;
  RecordingSettings recording;
  LogSettings log;
};
BOOST_DESCRIBE_STRUCT(EntrySettings, (),
                      (data_centre, callers, readiness, peers, admin, table,
                       upstream_protocol, millicores, link_bytes_per_second,
                       memory_bytes, input_output_threads, bucket_count,
                       duplicate_window, suspect_after, remove_after, lease,
                       client_limits, drain_accepts, stop_within, placement,
                       interference, agents_are_listed, recording, log))

struct AgentSettings {
  DataCentreName data_centre;
  // Serves operators, and announcements of an upstream that uses kOwn.
  Endpoint admin;
  UpstreamProtocol upstream_protocol = UpstreamProtocol::kOwn;
  // Serves announcements of an upstream that uses kPlatform, which requires it.
  std::optional<Endpoint> announcements;
  // 0: a single thread does everything, for an instance with one core.
  std::uint32_t input_output_threads = 0;
  Endpoint table;
  std::uint32_t upstream_connections = 0;
  std::uint32_t bucket_count = 0;
  std::uint32_t maximum_remembered_tasks = 0;
  std::uint64_t maximum_answer_bytes = 0;
  Duration duplicate_window{};
  // The duration of the lease under which the upstream runs a task; renewed
  // after half of it.
  Duration lease{};
  ClientLimitSettings client_limits;
  // Whether this agent lists its address in the table before it reads a view.
  bool lists_address = false;
  RecordingSettings recording;
  LogSettings log;
};
BOOST_DESCRIBE_STRUCT(AgentSettings, (),
                      (data_centre, admin, upstream_protocol, announcements,
                       input_output_threads, table, upstream_connections,
                       bucket_count, maximum_remembered_tasks,
                       maximum_answer_bytes, duplicate_window, lease,
                       client_limits, lists_address, recording, log))

// Parse and validate the text of a settings file. Errors name the text by
// `source`, the field and the allowed values.
Result<EntrySettings> ParseEntrySettings(const std::string& text,
                                         const std::string& source);
Result<AgentSettings> ParseAgentSettings(const std::string& text,
                                         const std::string& source);

// Returns the names of the settings that differ.
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
