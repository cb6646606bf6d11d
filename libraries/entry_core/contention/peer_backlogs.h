#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CONTENTION_PEER_BACKLOGS_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CONTENTION_PEER_BACKLOGS_H_

#include <map>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/protocol/entry_messages.h"

namespace dandelionspur {

// What the other entries queue for the services, as told with their heartbeats.
// All entries compete for the same upstreams, so the own queue alone says
// little about how long a task waits.
class PeerBacklogs {
 public:
  // Replaces what the entry has told before.
  void Note(EntryId from, const std::vector<ServiceBacklog>& told,
            Timestamp now);
  // The sum of what the other entries have told lately. An entry that was not
  // heard for a while counts no more, since its jobs go to others.
  [[nodiscard]] Backlog Of(const ServiceName& service, Timestamp now) const;

 private:
  struct Told {
    std::map<ServiceName, Backlog> services;
    Timestamp at;
  };

  std::map<EntryId, Told> entries;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_CONTENTION_PEER_BACKLOGS_H_
