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
  // Records that this agent has left and that no task is running. Passes the
  // callback whether the address is still listed, as far as is known.
  void MarkDeparted(Callback callback);

 private:
  // Replaces the row `known`. Passes whether it was written.
  void Write(const Row& known, bool has_departed, const Callback& callback);

  TableClient& table;
  Endpoint address;
  bool is_listed = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_
