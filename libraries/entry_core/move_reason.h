#ifndef DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MOVE_REASON_H_
#define DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MOVE_REASON_H_

#include "libraries/base/time.h"
#include "libraries/entry_core/entry_events.h"
#include "libraries/entry_core/peer_directory.h"
#include "libraries/protocol/entry_messages.h"
#include "libraries/protocol/view.h"

namespace dandelionspur {

// Why another entry acquires a bucket of which this ballot is the highest.
[[nodiscard]] inline MoveReason ReasonToMove(const Ballot& highest,
                                             const View& view,
                                             const PeerDirectory& peers,
                                             Timestamp now) {
  if (highest.IsNone()) return MoveReason::kNewView;
  const bool is_lost = view.Find(highest.entry) == nullptr ||
                       peers.DeadSince(highest.entry).has_value();
  if (is_lost) return MoveReason::kMemberLost;
  if (peers.IsSuspected(highest.entry, now)) return MoveReason::kSuspected;
  return highest.epoch < view.epoch ? MoveReason::kNewView
                                    : MoveReason::kTakenBack;
}

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_LIBRARIES_ENTRY_CORE_MOVE_REASON_H_
