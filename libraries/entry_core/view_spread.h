#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_VIEW_SPREAD_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_VIEW_SPREAD_H_

#include <chrono>
#include <map>
#include <vector>

#include "libraries/base/identifiers.h"
#include "libraries/base/time.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// Peers and agents that still have an earlier view after this time are sent the
// current one, once in each such interval.
inline constexpr Duration kViewPatience = std::chrono::milliseconds(400);

// Decides which entries are sent the view in force because they are not known
// to have it. They may be unable to reach the table, and an entry whose view
// names only members that have ended hears of a later one from nobody else.
class ViewSpread {
 public:
  ViewSpread(EntryId own, const PeerDirectory& directory)
      : self(own), peers(directory) {}

  // A later view has come into force.
  void OnAdopted(Timestamp now);
  [[nodiscard]] Timestamp adopted_at() const { return this->adopted; }
  // The connected peers that are to be sent `view` now. A member that has not
  // told which view it has is sent it at growing intervals, as it may never
  // answer.
  std::vector<EntryId> TakeOutdated(const View& view, Timestamp now);

 private:
  struct Reminder {
    Timestamp next;
    Duration interval = kViewPatience;
  };

  EntryId self;
  const PeerDirectory& peers;
  Timestamp adopted;
  std::map<EntryId, Reminder> reminders;
};

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_VIEW_SPREAD_H_
