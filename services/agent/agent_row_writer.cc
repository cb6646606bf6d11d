#include "services/agent/agent_row_writer.h"

#include <optional>
#include <utility>

#include "libraries/protocol/agent_row.h"

namespace dandelionspur {

void AgentRowWriter::EnsureListed(Callback callback) {
  if (this->is_listed) {
    callback(true);
    return;
  }
  this->table.ReadRow(
      AgentRowKey(this->address),
      [this, done = std::move(callback)](const std::optional<Row>& row) {
        if (!row) {
          done(false);
          return;
        }
        if (row->version == RowVersion()) {
          this->Write(done);
          return;
        }
        this->is_listed = true;
        done(true);
      });
}

void AgentRowWriter::Write(const Callback& callback) {
  const Row row{AgentRowKey(this->address), RowVersion(),
                EncodeAgentRow(this->address)};
  this->table.WriteRow(row, RowVersion(), {},
                       [this, callback](WriteOutcome outcome) {
                         this->is_listed = outcome == WriteOutcome::kWritten;
                         // Any other outcome shows in the next reading.
                         callback(this->is_listed);
                       });
}

}  // namespace dandelionspur
