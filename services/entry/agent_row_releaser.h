#ifndef DANDELIONSPUR_SERVICES_ENTRY_AGENT_ROW_RELEASER_H_
#define DANDELIONSPUR_SERVICES_ENTRY_AGENT_ROW_RELEASER_H_

#include <map>
#include <string>

#include "libraries/base/time.h"
#include "libraries/entry_core/entry_events.h"
#include "platform/table_client.h"

namespace dandelionspur {

// Follows the rows in which agents list their addresses, and marks those as
// vacant whose agents have gone for good. Runs on the table client's thread.
class AgentRowReleaser {
 public:
  explicit AgentRowReleaser(TableClient& client) : table(client) {}

  // A row with the key of an agent's row has changed, or was removed.
  void OnRow(const Row& row, Timestamp now);
  // Marks the row unless it has changed so lately that another agent may have
  // begun there. A row that changes meanwhile is left alone.
  void Release(const ReleaseAgentAddress& released, Timestamp now);

 private:
  struct ListedRow {
    RowVersion version;
    // When this entry read that version.
    Timestamp read_at;
  };

  TableClient& table;
  // The rows that list an address, by their keys.
  std::map<std::string, ListedRow> listed;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_AGENT_ROW_RELEASER_H_
