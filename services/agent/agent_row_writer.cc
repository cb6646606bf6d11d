#include "services/agent/agent_row_writer.h"

#include <optional>

#include "libraries/protocol/agent_row.h"

namespace dandelionspur {

void AgentRowWriter::Check(const Callback& callback) {
  if (this->is_listed) {
    callback(AddressListing::kListed);
    return;
  }
  this->table.ReadRow(
      AgentRowKey(this->address),
      [this, callback](const std::optional<Row>& row) {
        if (!row) {
          callback(AddressListing::kUnknown);
          return;
        }
        const bool exists = row->version != RowVersion();
        const std::optional<AgentRow> known = DecodeAgentRow(row->value);
        // One that can't be decoded hides no agent: entries wait for all then.
        const bool is_vacant = known ? known->has_departed : !exists;
        // It may have been claimed since the row was read.
        this->is_listed = this->is_listed || !is_vacant;
        callback(this->is_listed ? AddressListing::kListed
                                 : AddressListing::kVacant);
      });
}

void AgentRowWriter::Claim(const Callback& callback) {
  this->table.ReadRow(AgentRowKey(this->address),
                      [this, callback](const std::optional<Row>& row) {
                        if (!row) {
                          callback(AddressListing::kUnknown);
                          return;
                        }
                        this->Write(*row, false, AddressListing::kListed,
                                    callback);
                      });
}

void AgentRowWriter::MarkVacant(const Callback& callback) {
  if (!this->is_listed) {
    callback(AddressListing::kUnknown);
    return;
  }
  // From now on the row may say either.
  this->is_listed = false;
  this->table.ReadRow(AgentRowKey(this->address),
                      [this, callback](const std::optional<Row>& row) {
                        if (!row) {
                          callback(AddressListing::kUnknown);
                          return;
                        }
                        this->Write(*row, true, AddressListing::kVacant,
                                    callback);
                      });
}

void AgentRowWriter::Write(const Row& known, bool is_vacant,
                           AddressListing written, const Callback& callback) {
  const Row row{AgentRowKey(this->address), RowVersion(),
                EncodeAgentRow({this->address, is_vacant})};
  this->table.WriteRow(
      row, known.version, {}, [this, written, callback](WriteOutcome outcome) {
        const bool is_written = outcome == WriteOutcome::kWritten;
        if (is_written) {
          this->is_listed = written != AddressListing::kVacant;
        }
        callback(is_written ? written : AddressListing::kUnknown);
      });
}

}  // namespace dandelionspur
