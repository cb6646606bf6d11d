#ifndef DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_ROW_H_
#define DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_ROW_H_

#include <boost/describe.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/protocol/endpoint.h"

namespace dandelionspur {

// A row of the platform's table that lists the address of an agent. An address
// stays listed when the agent is killed, so that a restarted agent finds its
// row and writes nothing.
struct AgentRow {
  Endpoint admin_endpoint;
  // No task of the agents at the address is running, nor will begin to: the
  // agent has left as planned, or its upstream has.
  bool has_departed = false;
};
BOOST_DESCRIBE_STRUCT(AgentRow, (), (admin_endpoint, has_departed))

std::string AgentRowKey(const Endpoint& admin_endpoint);
[[nodiscard]] bool IsAgentRowKey(std::string_view key);
std::string EncodeAgentRow(const AgentRow& row);
// Returns nothing if the text is not an encoded row.
std::optional<AgentRow> DecodeAgentRow(const std::string& text);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_PROTOCOL_AGENT_ROW_H_
