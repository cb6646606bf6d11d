#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_ROW_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_ROW_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

// The rows of the platform's table that list the addresses of agents. An
// address stays listed, so that a restarted agent finds its row and writes
// nothing.
std::string AgentRowKey(const Endpoint& admin_endpoint);
[[nodiscard]] bool IsAgentRowKey(std::string_view key);
std::string EncodeAgentRow(const Endpoint& admin_endpoint);
// Returns nothing if the text is not an encoded address.
std::optional<Endpoint> DecodeAgentRow(const std::string& text);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_ROW_H_
