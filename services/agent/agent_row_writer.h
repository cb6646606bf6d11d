#ifndef DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_
#define DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_

#include <functional>

#include "libraries/protocol/endpoint.h"
#include "platform/table_client.h"

namespace dandelionspur {

// Lists the agent's address in the table, before the agent reads a view. Runs
// on the table client's thread.
class AgentRowWriter {
 public:
  // Passed whether the address is known to be listed.
  using Callback = std::function<void(bool is_listed)>;

  AgentRowWriter(TableClient& client, const Endpoint& admin_endpoint)
      : table(client), address(admin_endpoint) {}

  // Makes sure that the address is listed. If the table doesn't answer, call it
  // again.
  void EnsureListed(Callback callback);

 private:
  void Write(const Callback& callback);

  TableClient& table;
  Endpoint address;
  bool is_listed = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_
