#ifndef DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_
#define DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_

#include <functional>

#include "libraries/protocol/endpoint.h"
#include "platform/table_client.h"

namespace dandelionspur {

// Whether the table lists an agent's address.
enum class AddressListing {
  // The table has not answered.
  kUnknown,
  kListed,
  // There is no row, or one that says that no task of the agents there is
  // running, nor will begin to.
  kVacant,
};

// Lists the agent's address in the table, before the agent starts tasks, and
// marks it as vacant. Runs on the table client's thread.
class AgentRowWriter {
 public:
  using Callback = std::function<void(AddressListing)>;

  AgentRowWriter(TableClient& client, const Endpoint& admin_endpoint)
      : table(client), address(admin_endpoint) {}

  // Finds out whether the address is listed. If the table doesn't answer, call
  // it again.
  void Check(const Callback& callback);
  // Lists the address. Always writes, so that a MarkVacant has no effect any
  // more that the table carries out late. The same holds then.
  void Claim(const Callback& callback);
  // Records that no task is running at the address, nor will begin to.
  void MarkVacant(const Callback& callback);

 private:
  // Replaces the row `known`, and passes `written` if that succeeds.
  void Write(const Row& known, bool is_vacant, AddressListing written,
             const Callback& callback);

  TableClient& table;
  Endpoint address;
  bool is_listed = false;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_AGENT_AGENT_ROW_WRITER_H_
