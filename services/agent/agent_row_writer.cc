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
        const std::optional<AgentRow> known = DecodeAgentRow(row->value);
        this->is_listed = known && !known->has_departed;
        if (this->is_listed) {
          done(true);
          return;
        }
        // Any other outcome shows in the next reading.
        this->Write(*row, false, [this, done](bool is_written) {
          this->is_listed = is_written;
          done(is_written);
        });
      });
}

void AgentRowWriter::MarkDeparted(Callback callback) {
  if (!this->is_listed) {
    callback(false);
    return;
  }
  this->table.ReadRow(
      AgentRowKey(this->address),
      [this, done = std::move(callback)](const std::optional<Row>& row) {
        if (!row) {
          done(true);
          return;
        }
        this->Write(*row, true, [done](bool is_written) { done(!is_written); });
      });
}

void AgentRowWriter::Write(const Row& known, bool has_departed,
                           const Callback& callback) {
  const Row row{AgentRowKey(this->address), RowVersion(),
                EncodeAgentRow({this->address, has_departed})};
  this->table.WriteRow(row, known.version, {},
                       [callback](WriteOutcome outcome) {
                         callback(outcome == WriteOutcome::kWritten);
                       });
}

}  // namespace dandelionspur
