#include "libraries/protocol/agent_row.h"

#include "libraries/protocol/table_row.h"

namespace dandelionspur {
namespace {

constexpr std::string_view kRowPrefix = "agent.";

}  // namespace

std::string AgentRowKey(const Endpoint& admin_endpoint) {
  return std::string(kRowPrefix) + EndpointText(admin_endpoint);
}

bool IsAgentRowKey(std::string_view key) { return key.starts_with(kRowPrefix); }

std::string EncodeAgentRow(const AgentRow& row) { return EncodeTableRow(row); }

std::optional<AgentRow> DecodeAgentRow(const std::string& text) {
  const std::optional<AgentRow> row = DecodeTableRow<AgentRow>(text);
  const bool is_usable = row && IsReachable(row->admin_endpoint);
  return is_usable ? row : std::nullopt;
}

}  // namespace dandelionspur
