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

std::string EncodeAgentRow(const Endpoint& admin_endpoint) {
  return EncodeTableRow(admin_endpoint);
}

std::optional<Endpoint> DecodeAgentRow(const std::string& text) {
  const std::optional<Endpoint> endpoint = DecodeTableRow<Endpoint>(text);
  const bool is_usable = endpoint && IsReachable(*endpoint);
  return is_usable ? endpoint : std::nullopt;
}

}  // namespace dandelionspur
