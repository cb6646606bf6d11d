#include "libraries/entry_core/contention/peer_backlogs.h"

namespace dandelionspur {
namespace {

constexpr Duration kValidFor = std::chrono::milliseconds(500);

}  // namespace

void PeerBacklogs::Note(EntryId from, const std::vector<ServiceBacklog>& told,
                        Timestamp now) {
  std::erase_if(this->entries, [&](const auto& item) {
    return now - item.second.at > kValidFor;
  });
  if (told.empty()) {
    this->entries.erase(from);
    return;
  }
  Told& entry = this->entries[from];
  entry.at = now;
  entry.services.clear();
  for (const ServiceBacklog& item : told) {
    entry.services[item.service] = item.backlog;
  }
}

Backlog PeerBacklogs::Of(const ServiceName& service, Timestamp now) const {
  Backlog total;
  for (const auto& [entry, told] : this->entries) {
    if (now - told.at > kValidFor) continue;
    const auto found = told.services.find(service);
    if (found == told.services.end()) continue;
    total.in_time += found->second.in_time;
    total.late += found->second.late;
  }
  return total;
}

}  // namespace dandelionspur
