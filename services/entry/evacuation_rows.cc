#include "services/entry/evacuation_rows.h"

#include <string>
#include <string_view>

#include "platform/desired_state.h"

namespace dandelionspur {
namespace {

constexpr std::string_view kPrefix = kEvacuationRowPrefix;

std::optional<DataCentreName> EvacuatedBy(const std::string& key) {
  if (!key.starts_with(kPrefix) || key.size() == kPrefix.size()) {
    return std::nullopt;
  }
  return DataCentreName(key.substr(kPrefix.size()));
}

}  // namespace

std::optional<EvacuationSet> EvacuationRows::Apply(const RowChanges& changes) {
  bool is_concerned = changes.is_whole_table;
  if (changes.is_whole_table) this->evacuated.clear();
  for (const Row& row : changes.rows) {
    const std::optional<DataCentreName> name = EvacuatedBy(row.key);
    if (!name) continue;
    is_concerned = true;
    if (row.version == RowVersion()) {
      this->evacuated.erase(*name);
    } else {
      this->evacuated.insert(*name);
    }
  }
  for (const UnreadableRow& row : changes.unreadable_rows) {
    const std::optional<DataCentreName> name = EvacuatedBy(row.key);
    if (!name) continue;
    is_concerned = true;
    this->evacuated.insert(*name);
  }
  if (!is_concerned) return std::nullopt;
  return EvacuationSet{EvacuationVersion(changes.revision.value()),
                       {this->evacuated.begin(), this->evacuated.end()}};
}

}  // namespace dandelionspur
