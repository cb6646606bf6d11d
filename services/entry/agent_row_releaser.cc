#include "services/entry/agent_row_releaser.h"

#include <optional>

#include "libraries/decision_log/log_events.h"
#include "libraries/protocol/agent_row.h"
#include "libraries/telemetry/log.h"

namespace dandelionspur {

void AgentRowReleaser::OnRow(const Row& row, Timestamp now) {
  const std::optional<AgentRow> agent =
      row.version == RowVersion() ? std::nullopt : DecodeAgentRow(row.value);
  if (agent && !agent->has_departed) {
    this->listed[row.key] = {row.version, now};
  } else {
    this->listed.erase(row.key);
  }
}

void AgentRowReleaser::Release(const ReleaseAgentAddress& released,
                               Timestamp now) {
  const std::string key = AgentRowKey(released.address);
  const auto found = this->listed.find(key);
  if (found == this->listed.end()) return;
  const ListedRow& row = found->second;
  if (now - row.read_at < released.unchanged_for) return;
  LogStateChange(AddressReleased{EndpointText(released.address)});
  // The outcome shows in the rows that follow.
  this->table.WriteRow(
      Row{key, RowVersion(), EncodeAgentRow({released.address, true})},
      row.version, {}, [](WriteOutcome) {});
}

}  // namespace dandelionspur
